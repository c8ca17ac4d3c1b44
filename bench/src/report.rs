//! One page of plots and figures from the JSON files of the other experiments.
//!
//! Every list of at least three objects with numbers becomes a plot over its first known axis;
//! every single number becomes a line of a table. An experiment therefore needs no code here.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use plotters::prelude::*;
use serde_json::Value;

use crate::fleet::Result;

/// Names of fields that plots are drawn over, in order of preference.
const AXES: [&str; 10] = [
    "second",
    "seconds",
    "at",
    "hosts",
    "agents",
    "members",
    "endpoints",
    "processes",
    "offered",
    "load",
];

/// Points that a list needs to be drawn.
const MIN_POINTS: usize = 3;

/// Lines of one plot at most; the rest of the fields are left to the JSON file.
const MAX_LINES: usize = 8;

const WIDTH: u32 = 760;
const HEIGHT: u32 = 320;

/// Where figures come from and go to.
#[derive(Bpaf, Clone, Debug)]
pub struct Options {
    /// The page to write
    #[bpaf(argument("FILE"), fallback(PathBuf::from("out/report.html")))]
    page: PathBuf,
    /// JSON files written by experiments with --json
    #[bpaf(positional("FIGURES"))]
    figures: Vec<PathBuf>,
}

/// Writes the page, and all figures beside it as one JSON file.
pub fn run(options: &Options) -> Result<()> {
    let mut all = BTreeMap::new();
    let mut body = String::new();
    for file in &options.figures {
        let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let value: Value =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        let name = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        body.push_str(&section(&name, &value)?);
        all.insert(name, value);
    }
    if all.is_empty() {
        return Err("no figures are given".to_owned());
    }
    if let Some(folder) = options.page.parent() {
        fs::create_dir_all(folder).map_err(|e| e.to_string())?;
    }
    write(&options.page, &page(&body))?;
    let figures = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
    write(&options.page.with_extension("json"), &figures)?;
    println!("{} experiments in {}", all.len(), options.page.display());
    Ok(())
}

fn write(file: &Path, text: &str) -> Result<()> {
    fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

fn page(body: &str) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>mastichaven: measurements</title><style>body{{font-family:sans-serif;\
         max-width:50em;margin:auto}}td{{padding:0 1em}}td+td{{text-align:right}}</style></head>\
         <body><h1>mastichaven: measurements</h1>\n{body}</body></html>\n"
    )
}

fn section(name: &str, value: &Value) -> Result<String> {
    let mut found = Found::default();
    found.walk("", value);
    let mut text = format!("<h2>{}</h2>\n", escape(name));
    for (path, points) in &found.lists {
        text.push_str(&plot(path, points)?);
    }
    text.push_str("<table>\n");
    for (path, number) in &found.numbers {
        text.push_str(&format!("<tr><td>{}</td><td>{number}</td></tr>\n", escape(path)));
    }
    text.push_str("</table>\n");
    Ok(text)
}

/// Numbers and lists of points in a file, by their paths.
#[derive(Default)]
struct Found<'a> {
    numbers: Vec<(String, f64)>,
    lists: Vec<(String, &'a [Value])>,
}

impl<'a> Found<'a> {
    fn walk(&mut self, path: &str, value: &'a Value) {
        match value {
            Value::Number(number) => {
                self.numbers.push((path.to_owned(), number.as_f64().unwrap_or_default()));
            }
            Value::Array(points) if is_drawn(points) => {
                self.lists.push((path.to_owned(), points));
            }
            Value::Array(items) => {
                for (n, item) in items.iter().enumerate() {
                    self.walk(&format!("{path}/{n}"), item);
                }
            }
            Value::Object(fields) => {
                for (name, field) in fields {
                    self.walk(format!("{path}/{name}").trim_start_matches('/'), field);
                }
            }
            _ => {}
        }
    }
}

fn is_drawn(points: &[Value]) -> bool {
    points.len() >= MIN_POINTS && axis_of(points).is_some()
}

/// The first field of [`AXES`] that all points have and that is not the same in all.
fn axis_of(points: &[Value]) -> Option<&'static str> {
    AXES.iter().find(|axis| differs(points, axis)).copied()
}

/// Whether all points have a number of this name, and not the same one.
fn differs(points: &[Value], name: &str) -> bool {
    let first = points[0][name].as_f64();
    points.iter().all(|point| point[name].is_number())
        && points.iter().any(|point| point[name].as_f64() != first)
}

/// One plot of every numeric field over the axis, each line as a share of its largest value.
fn plot(title: &str, points: &[Value]) -> Result<String> {
    let axis = axis_of(points).ok_or("a list without an axis")?;
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let at = |point: &Value| point[axis].as_f64().unwrap_or_default();
    let (low, high) = bounds(points.iter().map(at));
    let names: Vec<&String> = points[0].as_object().map_or_else(Vec::new, |fields| {
        let drawn = |(name, _): &(&String, &Value)| *name != axis && differs(points, name);
        fields.iter().filter(drawn).map(|(name, _)| name).take(MAX_LINES).collect()
    });
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| text(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(low..high, 0.0..1.05)
            .map_err(|e| text(&e))?;
        chart
            .configure_mesh()
            .x_desc(axis)
            .y_desc("share of the largest")
            .draw()
            .map_err(|e| text(&e))?;
        for (n, name) in names.into_iter().enumerate() {
            let value = |point: &Value| point[name].as_f64().unwrap_or_default();
            let most = points.iter().map(value).fold(f64::MIN_POSITIVE, f64::max);
            let line = points.iter().map(|point| (at(point), value(point) / most));
            let style = Palette99::pick(n).stroke_width(2);
            chart
                .draw_series(LineSeries::new(line, style))
                .map_err(|e| text(&e))?
                .label(format!("{name}, most {most:.4}"))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| text(&e))?;
        root.present().map_err(|e| text(&e))?;
    }
    Ok(svg)
}

fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
