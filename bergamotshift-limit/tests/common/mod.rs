//! Committed bounds for figures measured in virtual time.

use std::collections::BTreeMap;

use serde::Deserialize;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    measured: f64,
    margin: f64,
}

/// Checks that a figure exceeds its committed value by no more than its margin; lower is better.
#[track_caller]
pub fn check(name: &str, figure: f64) {
    let bounds: BTreeMap<String, Bound> = toml::from_str(include_str!("../../bounds.toml")).unwrap();
    let bound = &bounds[name];
    let limit = bound.measured + bound.margin;
    println!("{name}: {figure} (committed {}, at most {limit})", bound.measured);
    assert!(figure <= limit, "{name}: {figure} is over {limit}");
}
