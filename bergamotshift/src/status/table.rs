//! Sets out what entries said as text.

use core::fmt::Write;
use core::net::SocketAddr;

use super::Report;
use crate::entry::admin::status::Status;

/// Columns that are parted by two spaces and as wide as their widest cell.
#[derive(Debug)]
struct Grid {
    rows: Vec<Vec<String>>,
}

impl Grid {
    fn new(heads: &[&str]) -> Self {
        Self {
            rows: vec![heads.iter().map(|&head| head.to_owned()).collect()],
        }
    }

    fn row(&mut self, cells: &[&dyn ToString]) {
        let cells = cells.iter().map(|cell| clean(&cell.to_string()));
        self.rows.push(cells.collect());
    }

    fn write(&self, text: &mut String) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                // Writing into a string cannot fail.
                let _ = write!(line, "{cell:<width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
    }
}

/// Keeps names from steering the terminal.
fn clean(text: &str) -> String {
    let visible = |letter: char| if letter.is_control() { '\u{fffd}' } else { letter };
    text.chars().map(visible).collect()
}

/// Returns the entries in one table, what is cut off, and the endpoints as the first entry that answered sees them.
pub fn text(reports: &[Report]) -> String {
    let mut text = String::new();
    let mut entries = Grid::new(&[
        "ENTRY",
        "ZONE",
        "ADDRESS",
        "STATE",
        "CONFIG",
        "IN FLIGHT",
        "LIVE",
        "LEAVING",
        "UNREACHABLE",
        "CUT OFF",
    ]);
    for report in reports {
        match &report.status {
            Ok(status) => entry(&mut entries, report.address, status),
            Err(error) => entries.row(&[&"?", &"?", &report.address, &format!("no answer: {error}")]),
        }
    }
    entries.write(&mut text);
    if let Some(status) = reports.iter().find_map(|report| report.status.as_ref().ok()) {
        details(&mut text, status);
    }
    text
}

fn entry(grid: &mut Grid, address: SocketAddr, status: &Status) {
    let count = |count: fn(&crate::entry::admin::status::Zone) -> u32| status.zones.iter().map(count).sum::<u32>();
    let state = match status {
        Status { draining: true, .. } => "draining",
        Status { ready: true, .. } => "ready",
        Status { .. } => "not ready",
    };
    let config = status
        .config
        .map_or("folder".to_owned(), |version| version.get().to_string());
    let zones = status.cut_off().map(ToString::to_string);
    let silent = status.platform.iter().filter(|part| !part.answers);
    let parts = silent.map(|part| format!("platform:{}", part.name));
    let cut_off: Vec<_> = zones.chain(parts).collect();
    grid.row(&[
        &status.name,
        &status.zone,
        &address,
        &state,
        &config,
        &status.active,
        &count(|zone| zone.live),
        &count(|zone| zone.leaving),
        &count(|zone| zone.unreachable),
        &(if cut_off.is_empty() {
            "-".to_owned()
        } else {
            cut_off.join(",")
        }),
    ]);
}

fn details(text: &mut String, status: &Status) {
    let _ = writeln!(text, "\nAs entry {} sees it:", clean(status.name.as_str()));
    let mut zones = Grid::new(&["ZONE", "REGION", "LIVE", "LEAVING", "UNREACHABLE", "STATE"]);
    for zone in &status.zones {
        let region = zone.region.as_ref().map_or("-", |region| region.as_str());
        let state = if zone.cut_off { "cut off" } else { "" };
        zones.row(&[
            &zone.name,
            &region,
            &zone.live,
            &zone.leaving,
            &zone.unreachable,
            &state,
        ]);
    }
    zones.write(text);
    text.push('\n');
    let mut endpoints = Grid::new(&["VM", "SERVICE", "ZONE", "STATE", "IN FLIGHT"]);
    for endpoint in &status.endpoints {
        let state = match (endpoint.leaving, endpoint.reachable) {
            (true, _) => "leaving",
            (false, true) => "live",
            (false, false) => "unreachable",
        };
        endpoints.row(&[
            &endpoint.vm,
            &endpoint.service,
            &endpoint.zone,
            &state,
            &endpoint.in_flight,
        ]);
    }
    endpoints.write(text);
    if let Some(members) = &status.members {
        text.push('\n');
        let mut grid = Grid::new(&["ENTRY", "ZONE", "ADDRESS", "STATE"]);
        for member in members {
            grid.row(&[&member.name, &member.zone, &member.address, &member.health.as_str()]);
        }
        grid.write(text);
    }
    if !status.leases.is_empty() {
        text.push('\n');
        let mut leases = Grid::new(&["DUTY", "FENCE", "LEFT"]);
        for lease in &status.leases {
            leases.row(&[&lease.duty, &lease.fence, &format!("{} s", lease.left_ms / 1000)]);
        }
        leases.write(text);
    }
}
