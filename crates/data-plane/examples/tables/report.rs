//! Measures each size in a process of its own, and prints the figures as tables.

use crate::fixtures::SIZES;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::io;
use std::process::Command;

/// Why there is no report.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("cannot start a measurement: {source}"))]
    Start { source: io::Error },
    #[snafu(display("a measurement failed: {output}"))]
    Measurement { output: String },
}

/// A row of a table: a figure for each size, by its number of gateways.
struct Row {
    name: String,
    figures: BTreeMap<usize, f64>,
}

struct Table {
    name: String,
    rows: Vec<Row>,
}

/// Measures all sizes and prints the report.
pub(crate) fn print_report() -> Result<(), Error> {
    let mut tables = Vec::new();
    for size in SIZES {
        for line in measure(size.gateways)?.lines() {
            add_line(&mut tables, size.gateways, line);
        }
    }
    let sizes = SIZES.map(|size| [size.gateways, size.routes, size.tenants, size.backends]);
    println!("Gateways, routes, tenants, backends: {sizes:?}. Rise: by 100 gateways, least squares. Power: p where");
    println!("the figure grows as the size to the p between the last two sizes.");
    tables.iter().for_each(print_table);
    Ok(())
}

/// What a process prints that measures one size.
fn measure(gateways: usize) -> Result<String, Error> {
    let program = std::env::current_exe().context(StartSnafu)?;
    let output =
        Command::new(&program).args(["--size", &gateways.to_string()]).output().context(StartSnafu)?;
    if !output.status.success() {
        let output = String::from_utf8_lossy(&output.stderr);
        return MeasurementSnafu { output }.fail();
    }
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Takes a line: table, row and figure, with tabs between them.
fn add_line(tables: &mut Vec<Table>, gateways: usize, line: &str) {
    let parts: Vec<&str> = line.split('\t').collect();
    let [table, row, figure] = parts[..] else { return };
    let Ok(figure) = figure.parse() else { return };
    let at = tables.iter().position(|known| known.name == table).unwrap_or_else(|| {
        tables.push(Table { name: table.to_owned(), rows: Vec::new() });
        tables.len() - 1
    });
    let rows = &mut tables[at].rows;
    match rows.iter_mut().find(|known| known.name == row) {
        Some(known) => _ = known.figures.insert(gateways, figure),
        None => rows.push(Row { name: row.to_owned(), figures: BTreeMap::from([(gateways, figure)]) }),
    }
}

fn print_table(table: &Table) {
    println!("\n| {} | 60 | 200 | 600 | rise | power |\n| --- | --- | --- | --- | --- | --- |", table.name);
    for row in &table.rows {
        let points = SIZES.map(|size| {
            let figure = row.figures.get(&size.gateways).copied().unwrap_or(0.0);
            (size.gateways as f64, figure)
        });
        let power = (points[2].1 / points[1].1).ln() / 3f64.ln();
        let power = if power.is_finite() { format!("{power:.1}") } else { "-".to_owned() };
        let cells = points.map(|(_, figure)| rounded(figure)).join(" | ");
        println!("| {} | {cells} | {} | {power} |", row.name, rounded(slope(&points) * 100.0));
    }
}

/// The slope of the straight line through some points, by least squares.
fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    covariance / points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>()
}

fn rounded(figure: f64) -> String {
    match figure.abs() {
        f if f >= 100.0 => format!("{figure:.0}"),
        f if f >= 1.0 => format!("{figure:.1}"),
        _ => format!("{figure:.3}"),
    }
}
