//! Prints figures, and writes them to a file if one is named.

use std::fs;
use std::path::Path;

use serde_json::Value;

/// Prints `figures` and writes them to `file`.
pub fn write(figures: &Value, file: Option<&Path>) -> Result<(), String> {
    println!("{figures:#}");
    match file {
        Some(file) => fs::write(file, format!("{figures:#}\n")).map_err(|e| e.to_string()),
        None => Ok(()),
    }
}
