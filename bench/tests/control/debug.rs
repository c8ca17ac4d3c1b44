use std::time::Duration;
use mastichaven_bench::fleet::*;

#[test]
fn debug() {
    let fleet = Fleet::start(&Layout::default()).unwrap();
    let weights = (0..(1u32<<18)).flat_map(|n| n.wrapping_mul(2654435761).to_be_bytes()).collect::<Vec<u8>>();
    let manifest = fleet.origin.put(&weights, 64<<10);
    let config = fleet.configuration(&manifest).unwrap();
    fleet.publish(&config).unwrap();
    for _ in 0..12 {
        std::thread::sleep(Duration::from_secs(1));
        let mut line = String::new();
        let ops = fleet.entries.iter().map(|(h, e)| (h, e.operators_addr())).chain(fleet.agents.iter().map(|(h, a)| (h, a.operators_addr())));
        for (host, addr) in ops {
            let text = minreq::get(format!("http://{addr}/dump")).with_timeout(3).send().unwrap();
            let v: serde_json::Value = serde_json::from_slice(text.as_bytes()).unwrap();
            let members = match &v["members"] { serde_json::Value::Array(a) => a.len().to_string() + "/" + &a.iter().filter(|m| m["serving"] != "Nothing").count().to_string(), o => o.to_string() };
            line += &format!("\n  {host}: m {members} {} w {}", v["documents"], v["weights"]);
        }
        println!("DBG {line}");
    }
    panic!();
}
