//! Output of the figures of an experiment.

use std::fs;
use std::path::Path;

use serde_json::Value;

/// Prints `figures` as indented JSON and also writes them to `file`, if given.
pub fn print_and_write(figures: &Value, file: Option<&Path>) -> Result<(), String> {
    println!("{figures:#}");
    match file {
        Some(file) => fs::write(file, format!("{figures:#}\n")).map_err(|e| e.to_string()),
        None => Ok(()),
    }
}
