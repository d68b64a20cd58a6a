//! The report as text tables.

use core::fmt::Write;

use super::Report;
use crate::latency::Summary;

const SHOWN_VIOLATIONS: usize = 20;

/// Returns the short table of the demo.
pub(super) fn brief(report: &Report) -> String {
    let totals = &report.totals;
    let mut text = String::new();
    line(&mut text, "accepted", totals.accepted);
    line(&mut text, "finished whole", totals.whole);
    line(&mut text, "refused", totals.refused + totals.unreachable);
    line(&mut text, "run twice", totals.run_twice);
    line(&mut text, "cut", totals.cut + totals.lost + totals.wrong);
    if let Some(added) = &report.added {
        let figures = format!("{} / {}", signed(added.p50_us()), signed(added.p99_us()));
        line(&mut text, "added latency p50 / p99", figures);
    }
    line(&mut text, "tokens", totals.tokens);
    line(&mut text, "tokens recomputed", totals.recomputed);
    verdict(&mut text, report);
    text
}

/// Returns all figures.
pub(super) fn full(report: &Report) -> String {
    let mut text = format!(
        "run {}: seed {}, {} requests/s for {} s ({} s to the end)\n\n",
        report.label,
        report.seed,
        report.rate,
        report.duration_ms as f64 / 1e3,
        report.elapsed_ms as f64 / 1e3,
    );
    counts(&mut text, report);
    latencies(&mut text, report);
    for event in &report.events {
        let failed = event
            .failed
            .as_ref()
            .map(|cause| format!(" FAILED: {cause}"))
            .unwrap_or_default();
        write(
            &mut text,
            format_args!("{:>8} ms  {}{failed}\n", event.at_ms, event.what),
        );
    }
    for unproved in &report.unproved {
        write(&mut text, format_args!("not proved: {unproved}\n"));
    }
    verdict(&mut text, report);
    text
}

fn counts(text: &mut String, report: &Report) {
    let totals = &report.totals;
    let rows = [
        ("sent", totals.sent),
        ("accepted", totals.accepted),
        ("finished whole", totals.whole),
        ("refused", totals.refused),
        ("  outcome unknown", totals.unknown),
        ("unreachable", totals.unreachable),
        ("cut", totals.cut),
        ("lost", totals.lost),
        ("another's answer", totals.wrong),
        ("broken and sent again", totals.resent),
        ("run twice", totals.run_twice),
        ("tokens", totals.tokens),
        ("tokens recomputed", totals.recomputed),
    ];
    for (name, value) in rows {
        line(text, name, value);
    }
}

fn latencies(text: &mut String, report: &Report) {
    write(
        text,
        format_args!(
            "\n{:24}{:>10}{:>12}{:>12}{:>12}{:>12}{:>12}\n",
            "latency from when due", "count", "p50", "p90", "p99", "p99.9", "max"
        ),
    );
    for kind in &report.kinds {
        row(text, kind.kind.as_str(), &kind.latency);
    }
    row(text, "first token", &report.first_token);
    row(text, "between tokens", &report.between_tokens);
    row(text, "sent late by", &report.lag);
    if let Some(added) = &report.added {
        row(text, "get, from sending", &added.through);
        row(text, "direct, from sending", &added.direct);
        write(
            text,
            format_args!(
                "added latency: p50 {}, p99 {}\n",
                signed(added.p50_us()),
                signed(added.p99_us())
            ),
        );
    }
    text.push('\n');
}

fn row(text: &mut String, name: &str, summary: &Summary) {
    if summary.count == 0 {
        return;
    }
    write(
        text,
        format_args!(
            "{name:24}{:>10}{:>12}{:>12}{:>12}{:>12}{:>12}\n",
            summary.count,
            span(summary.p50_us),
            span(summary.p90_us),
            span(summary.p99_us),
            span(summary.p999_us),
            span(summary.max_us),
        ),
    );
}

fn verdict(text: &mut String, report: &Report) {
    for violation in report.violations.iter().take(SHOWN_VIOLATIONS) {
        write(
            text,
            format_args!(
                "BROKEN: {}: key {}, requests {:?}, endpoints {:?}: {}\n",
                violation.promise,
                violation.key,
                violation.request_ids,
                violation.endpoints.iter().map(ToString::to_string).collect::<Vec<_>>(),
                violation.detail,
            ),
        );
    }
    let hidden = report.violations.len().saturating_sub(SHOWN_VIOLATIONS);
    if hidden > 0 {
        write(text, format_args!("and {hidden} more\n"));
    }
    let verdict = if report.passed() { "passed" } else { "FAILED" };
    write(
        text,
        format_args!("{verdict}: {} broken promises\n", report.violations.len()),
    );
}

/// Returns microseconds in the unit that reads best.
pub(super) fn span(micros: u64) -> String {
    match micros {
        0..1_000 => format!("{micros} us"),
        1_000..1_000_000 => format!("{:.2} ms", micros as f64 / 1e3),
        _ => format!("{:.2} s", micros as f64 / 1e6),
    }
}

fn signed(micros: i64) -> String {
    let sign = if micros < 0 { "-" } else { "" };
    format!("{sign}{}", span(micros.unsigned_abs()))
}

fn line(text: &mut String, name: &str, value: impl core::fmt::Display) {
    write(text, format_args!("{name:24}{value:>20}\n"));
}

fn write(text: &mut String, arguments: core::fmt::Arguments<'_>) {
    text.write_fmt(arguments).expect("a string takes any text");
}
