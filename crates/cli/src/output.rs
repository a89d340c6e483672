//! Text tables and JSON on standard output.

use anstyle::Style;
use serde_json::Value;

const HEADER: Style = Style::new().bold();

/// How results are printed.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) json: bool,
}

impl Output {
    /// Prints `value` as JSON, or else what `text` prints.
    pub(crate) fn show(&self, value: &Value, text: impl FnOnce()) {
        if self.json {
            anstream::println!("{value:#}");
        } else {
            text();
        }
    }

    /// Prints a list of objects as JSON, or else the named fields of each as a table.
    pub(crate) fn table(&self, value: &Value, list: &str, columns: &[(&str, &str)]) {
        self.show(value, || {
            let rows = value[list].as_array().map_or(&[][..], Vec::as_slice);
            table(rows, columns);
        });
    }
}

/// Prints rows under their headers. A column is a header and the JSON pointer of its cell.
pub(crate) fn table(rows: &[Value], columns: &[(&str, &str)]) {
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| columns.iter().map(|(_, at)| cell(row, at)).collect())
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
    anstream::println!("{HEADER}{}{HEADER:#}", line(&headers, &widths));
    for row in &rows {
        anstream::println!("{}", line(row, &widths));
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}

fn cell(row: &Value, pointer: &str) -> String {
    match row.pointer(pointer) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Bool(yes)) => if *yes { "yes" } else { "no" }.to_owned(),
        Some(Value::Number(number)) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or_default())
        }
        Some(other) => other.to_string(),
    }
}
