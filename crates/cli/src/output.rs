//! Text tables and JSON on standard output.

use anstyle::Style;
use serde_json::Value;

const HEADER: Style = Style::new().bold();

/// Output format that the operator chose.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) json: bool,
}

impl Output {
    /// Prints `value` as JSON if the operator asked for JSON; otherwise calls `print_text`.
    pub(crate) fn show(&self, value: &Value, print_text: impl FnOnce()) {
        if self.json {
            anstream::println!("{value:#}");
        } else {
            print_text();
        }
    }

    /// Prints `value` as JSON, or the objects in its array `list` as a table with these columns.
    pub(crate) fn show_table(&self, value: &Value, list: &str, columns: &[(&str, &str)]) {
        self.show(value, || {
            let rows = value[list].as_array().map_or(&[][..], Vec::as_slice);
            print_table(rows, columns);
        });
    }
}

/// Prints rows under their headers. A column is a header and the JSON pointer of its cell in a row.
pub(crate) fn print_table(rows: &[Value], columns: &[(&str, &str)]) {
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            columns
                .iter()
                .map(|(_, pointer)| format_cell(row, pointer))
                .collect()
        })
        .collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|index| {
            let cells = rows.iter().map(|row| row[index].chars().count());
            cells.max().unwrap_or(0).max(columns[index].0.len())
        })
        .collect();
    let headers: Vec<String> = columns
        .iter()
        .map(|(header, _)| (*header).to_owned())
        .collect();
    anstream::println!("{HEADER}{}{HEADER:#}", format_row(&headers, &widths));
    for row in &rows {
        anstream::println!("{}", format_row(row, &widths));
    }
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}

fn format_cell(row: &Value, pointer: &str) -> String {
    match row.pointer(pointer) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Bool(flag)) => if *flag { "yes" } else { "no" }.to_owned(),
        Some(Value::Number(number)) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or_default())
        }
        Some(other) => other.to_string(),
    }
}
