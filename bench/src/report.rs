//! Writes one HTML page of plots and figures from the JSON files of other experiments.
//!
//! A list of at least three objects with numeric fields becomes a plot over the first of `AXES` that
//! fits; every other number becomes a row of a table. New experiments therefore need no code here.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use plotters::prelude::*;
use serde_json::Value;

use crate::fleet::Result;

/// Names of fields that can serve as the x axis of a plot, in order of preference.
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

/// Minimum length of a list to be plotted.
const MIN_POINTS: usize = 3;

/// Maximum number of lines in a plot; further fields appear only in the JSON file.
const MAX_LINES: usize = 8;

const WIDTH: u32 = 760;
const HEIGHT: u32 = 320;

/// Input and output files of the report.
#[derive(Bpaf, Clone, Debug)]
pub struct Options {
    /// HTML page to write
    #[bpaf(argument("FILE"), fallback(PathBuf::from("out/report.html")))]
    page: PathBuf,
    /// JSON files written by experiments with --json
    #[bpaf(positional("FIGURES"))]
    figures: Vec<PathBuf>,
}

/// Writes the page, and all figures next to it as one JSON file with the same stem.
pub fn run(options: &Options) -> Result<()> {
    let mut experiments = BTreeMap::new();
    let mut body = String::new();
    for file in &options.figures {
        let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let value: Value =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        let name = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        body.push_str(&render_section(&name, &value)?);
        experiments.insert(name, value);
    }
    if experiments.is_empty() {
        return Err("no files with figures are given".to_owned());
    }
    if let Some(folder) = options.page.parent() {
        fs::create_dir_all(folder).map_err(|e| e.to_string())?;
    }
    write(&options.page, &render_page(&body))?;
    let figures = serde_json::to_string_pretty(&experiments).map_err(|e| e.to_string())?;
    write(&options.page.with_extension("json"), &figures)?;
    println!("{} experiments in {}", experiments.len(), options.page.display());
    Ok(())
}

fn write(file: &Path, text: &str) -> Result<()> {
    fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

fn render_page(body: &str) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>mastichaven: measurements</title><style>body{{font-family:sans-serif;\
         max-width:50em;margin:auto}}td{{padding:0 1em}}td+td{{text-align:right}}</style></head>\
         <body><h1>mastichaven: measurements</h1>\n{body}</body></html>\n"
    )
}

fn render_section(name: &str, value: &Value) -> Result<String> {
    let mut extracted = ExtractedFigures::default();
    extracted.collect("", value);
    let mut text = format!("<h2>{}</h2>\n", escape_html(name));
    for (path, points) in &extracted.lists {
        text.push_str(&render_plot(path, points)?);
    }
    text.push_str("<table>\n");
    for (path, number) in &extracted.numbers {
        text.push_str(&format!("<tr><td>{}</td><td>{number}</td></tr>\n", escape_html(path)));
    }
    text.push_str("</table>\n");
    Ok(text)
}

/// Numbers and plottable lists of a JSON file, each with its slash-separated path.
#[derive(Default)]
struct ExtractedFigures<'a> {
    numbers: Vec<(String, f64)>,
    lists: Vec<(String, &'a [Value])>,
}

impl<'a> ExtractedFigures<'a> {
    fn collect(&mut self, path: &str, value: &'a Value) {
        match value {
            Value::Number(number) => {
                self.numbers.push((path.to_owned(), number.as_f64().unwrap_or_default()));
            }
            Value::Array(points) if is_plottable(points) => {
                self.lists.push((path.to_owned(), points));
            }
            Value::Array(items) => {
                for (n, item) in items.iter().enumerate() {
                    self.collect(&format!("{path}/{n}"), item);
                }
            }
            Value::Object(fields) => {
                for (name, field) in fields {
                    self.collect(format!("{path}/{name}").trim_start_matches('/'), field);
                }
            }
            _ => {}
        }
    }
}

fn is_plottable(points: &[Value]) -> bool {
    points.len() >= MIN_POINTS && axis_of(points).is_some()
}

/// Returns the first of [`AXES`] that is a number in all points and differs between some of them.
fn axis_of(points: &[Value]) -> Option<&'static str> {
    AXES.iter().find(|axis| is_varying(points, axis)).copied()
}

/// Returns whether the field is a number in all points and differs between some of them.
fn is_varying(points: &[Value], name: &str) -> bool {
    let first = points[0][name].as_f64();
    points.iter().all(|point| point[name].is_number())
        && points.iter().any(|point| point[name].as_f64() != first)
}

/// Renders an SVG plot of the numeric fields over the axis. Each line is scaled to its largest value.
fn render_plot(title: &str, points: &[Value]) -> Result<String> {
    let axis = axis_of(points).ok_or("the list has no field that can be an axis")?;
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let x_value = |point: &Value| point[axis].as_f64().unwrap_or_default();
    let (low, high) = value_range(points.iter().map(x_value));
    let names: Vec<&String> = points[0].as_object().map_or_else(Vec::new, |fields| {
        let is_plotted = |(name, _): &(&String, &Value)| *name != axis && is_varying(points, name);
        fields.iter().filter(is_plotted).map(|(name, _)| name).take(MAX_LINES).collect()
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
            let peak = points.iter().map(value).fold(f64::MIN_POSITIVE, f64::max);
            let line = points.iter().map(|point| (x_value(point), value(point) / peak));
            let style = Palette99::pick(n).stroke_width(2);
            chart
                .draw_series(LineSeries::new(line, style))
                .map_err(|e| text(&e))?
                .label(format!("{name}, most {peak:.4}"))
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

fn value_range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)))
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
