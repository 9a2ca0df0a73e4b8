//! Runs each size in a process of its own, and prints what they measured as tables.

use crate::deployment::{Deployment, DEPLOYMENTS};
use snafu::{ensure, ResultExt, Snafu};
use std::collections::BTreeMap;
use std::process::Command;

/// Why there is no report.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{source}"))]
    Start { source: std::io::Error },
    #[snafu(display("{output}"))]
    Failed { output: String },
}

/// A table of figures, in the order in which they were printed.
struct Table {
    name: String,
    rows: Vec<Row>,
}

struct Row {
    name: String,
    /// By the number of gateways of a size.
    figures: BTreeMap<usize, f64>,
}

/// Measures all sizes, and prints the tables with the rise and the power of each figure.
///
/// # Errors
///
/// A size's process could not be started, or failed.
pub(crate) fn print_all() -> Result<(), Error> {
    let mut tables = Vec::new();
    for deployment in DEPLOYMENTS {
        for line in run_process(deployment)?.lines() {
            add_line(&mut tables, deployment.gateways, line);
        }
    }
    let sizes = DEPLOYMENTS.map(Deployment::numbers);
    println!("Gateways, routes, tenants, backends: {sizes:?}. Rise: by 100 gateways, least squares. Power: p where");
    println!("the figure grows as the size to the p between the last two sizes.");
    tables.iter().for_each(print_table);
    Ok(())
}

/// What a size's process printed.
fn run_process(deployment: Deployment) -> Result<String, Error> {
    let program = std::env::current_exe().context(StartSnafu)?;
    let arguments = ["--size".to_owned(), deployment.gateways.to_string()];
    let output = Command::new(program).args(arguments).output().context(StartSnafu)?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    ensure!(output.status.success(), FailedSnafu { output: text(&output.stderr) });
    Ok(text(&output.stdout))
}

/// Takes up a line of a table, a row and a figure; others are passed over.
fn add_line(tables: &mut Vec<Table>, gateways: usize, line: &str) {
    let parts: Vec<&str> = line.split('\t').collect();
    let [table, row, figure] = parts[..] else { return };
    let Ok(figure) = figure.parse() else { return };
    let position = tables.iter().position(|known| known.name == table).unwrap_or_else(|| {
        tables.push(Table { name: table.to_owned(), rows: Vec::new() });
        tables.len() - 1
    });
    let rows = &mut tables[position].rows;
    match rows.iter_mut().find(|known| known.name == row) {
        Some(known) => _ = known.figures.insert(gateways, figure),
        None => rows.push(Row { name: row.to_owned(), figures: BTreeMap::from([(gateways, figure)]) }),
    }
}

fn print_table(table: &Table) {
    println!("\n| {} | 60 | 200 | 600 | rise | power |\n| --- | --- | --- | --- | --- | --- |", table.name);
    for row in &table.rows {
        print_row(row);
    }
}

fn print_row(row: &Row) {
    let figures = DEPLOYMENTS.map(|deployment| row.figures.get(&deployment.gateways).copied().unwrap_or(0.0));
    let sizes = DEPLOYMENTS.map(|deployment| deployment.gateways as f64);
    let power = (figures[2] / figures[1]).ln() / 3f64.ln();
    let power = if power.is_finite() { format!("{power:.1}") } else { "-".to_owned() };
    let rise = rounded(slope(&sizes, &figures) * 100.0);
    let cells = figures.map(rounded).join(" | ");
    println!("| {} | {cells} | {rise} | {power} |", row.name);
}

/// The slope of the straight line through these points, by least squares.
fn slope(xs: &[f64], ys: &[f64]) -> f64 {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let (mean_x, mean_y) = (mean(xs), mean(ys));
    let covariance: f64 = xs.iter().zip(ys).map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    covariance / xs.iter().map(|x| (x - mean_x).powi(2)).sum::<f64>()
}

/// A figure in as many digits as say something.
fn rounded(figure: f64) -> String {
    match figure.abs() {
        magnitude if magnitude >= 100.0 => format!("{figure:.0}"),
        magnitude if magnitude >= 1.0 => format!("{figure:.1}"),
        _ => format!("{figure:.3}"),
    }
}
