//! Experiments that measure the system; each returns a table of results.
//!
//! Most of them run many nodes as tasks of one process, over loopback sockets and with stand-ins
//! for the platform and the targets. The others run no real nodes: [`baseline`] runs simplified
//! nodes that use only the platform stand-in, [`fairness`], [`picking`], [`quota`] and [`spread`] simulate state machines on
//! a virtual clock, and [`size`] measures single operations.

pub mod baseline;
pub mod churn;
pub mod claims;
pub mod convergence;
pub mod fairness;
pub mod faults;
pub mod fleet;
pub mod latency;
pub mod picking;
pub mod process;
pub mod quota;
pub mod size;
pub mod spread;

use serde_json::{Map, Value};

/// A table of results.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Column names, with units.
    pub columns: Vec<&'static str>,
    /// Rows, one per measured case.
    pub rows: Vec<Vec<Value>>,
}

impl Report {
    /// Creates an empty table with these columns.
    pub fn new(columns: &[&'static str]) -> Report {
        Report {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have one cell per column.
    pub fn add_row(&mut self, row: Vec<Value>) {
        debug_assert_eq!(row.len(), self.columns.len(), "one cell per column");
        self.rows.push(row);
    }

    /// Returns the rows as JSON objects whose keys are the column names.
    ///
    /// ```
    /// use tarragoncourse::experiment::Report;
    /// let mut report = Report::new(&["nodes"]);
    /// report.add_row(vec![8.into()]);
    /// assert_eq!(report.to_json()[0]["nodes"], 8);
    /// ```
    pub fn to_json(&self) -> Vec<Value> {
        let to_object = |row: &Vec<Value>| {
            let names = self.columns.iter().map(|name| name.to_string());
            let pairs: Map<String, Value> = names.zip(row.iter().cloned()).collect();
            Value::Object(pairs)
        };
        self.rows.iter().map(to_object).collect()
    }
}

/// Returns a number rounded to two decimal places.
pub fn rounded(x: f64) -> Value {
    Value::from((x * 100.0).round() / 100.0)
}
