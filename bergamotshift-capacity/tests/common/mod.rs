//! Comparison of simulation results with committed bounds.

use std::collections::BTreeMap;

use serde::Deserialize;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    measured: f64,
    margin: f64,
}

/// Asserts that a figure, of which lower is better, exceeds the committed value by no more than its margin.
#[track_caller]
pub fn check(name: &str, figure: f64) {
    let bounds: BTreeMap<String, Bound> = toml::from_str(include_str!("../../bounds.toml")).unwrap();
    let bound = bounds
        .get(name)
        .unwrap_or_else(|| panic!("no bound for {name}: {figure}"));
    let limit = bound.measured + bound.margin;
    println!("{name}: {figure} (committed {}, at most {limit})", bound.measured);
    assert!(figure <= limit, "{name}: {figure} is over {limit}");
}
