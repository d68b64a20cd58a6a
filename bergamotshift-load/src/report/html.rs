//! The report as one HTML page without outside files.

use super::Report;
use super::plot;
use crate::Error;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;padding:0 1em;\
color:#222}pre{background:#f6f6f6;padding:1em;overflow:auto;font-size:13px}svg{max-width:100%;height:auto}\
.passed{color:#176d2c}.failed{color:#a81414}";

/// Returns the page.
pub(super) fn page(report: &Report) -> Result<String, Error> {
    let (class, verdict) = if report.passed() {
        ("passed", "passed")
    } else {
        ("failed", "failed")
    };
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report {label}</title>\
         <style>{STYLE}</style></head><body>\n<h1>Load report {label}: <span class=\"{class}\">{verdict}</span></h1>\n\
         <pre>{text}</pre>\n{outcomes}\n{latency}\n{distribution}\n</body></html>\n",
        label = escape(&report.label),
        text = escape(&report.to_text()),
        outcomes = plot::outcomes(&report.seconds)?,
        latency = plot::latency(&report.seconds)?,
        distribution = plot::distribution(&report.curves)?,
    ))
}

/// Returns text that no browser takes for markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
