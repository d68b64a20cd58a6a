//! The plots of the page, as SVG text.

use plotters::prelude::*;

use super::Curve;
use super::Second;
use crate::Error;

const SIZE: (u32, u32) = (860, 320);
const FONT: (&str, u32) = ("sans-serif", 13);
const PALETTE: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
];

/// A named line of points.
#[derive(Debug)]
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws how many requests ended how, second by second.
pub(super) fn outcomes(seconds: &[Second]) -> Result<String, Error> {
    let series = [
        of_seconds("whole", seconds, |second| second.whole as f64),
        of_seconds("refused", seconds, |second| second.refused as f64),
        of_seconds("failed", seconds, |second| second.failed as f64),
    ];
    linear("requests by the second they were due in", "second", "requests", &series)
}

/// Draws the latency, second by second.
pub(super) fn latency(seconds: &[Second]) -> Result<String, Error> {
    let series = [
        of_seconds("p50", seconds, |second| second.p50_us as f64 / 1e3),
        of_seconds("p99", seconds, |second| second.p99_us as f64 / 1e3),
    ];
    linear("latency of whole answers, all kinds", "second", "ms", &series)
}

/// Draws latency over the share of requests that are slower, both logarithmic.
pub(super) fn distribution(curves: &[Curve]) -> Result<String, Error> {
    let series: Vec<_> = curves
        .iter()
        .map(|curve| Series {
            name: curve.name.clone(),
            points: curve.points.iter().filter_map(|point| tail(*point)).collect(),
        })
        .collect();
    let right = largest(&series, |point| point.0).max(100.0);
    let top = largest(&series, |point| point.1).max(1.0);
    let area = |backend: SVGBackend<'_>| -> Result<(), Box<dyn core::error::Error>> {
        let root = backend.into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("latency distribution (1 in N requests is slower)", FONT)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d((1.0..right).log_scale(), (0.01..top).log_scale())?;
        chart.configure_mesh().x_desc("N").y_desc("ms").draw()?;
        lines(&mut chart, &series)
    };
    draw(area)
}

/// Returns the point of a tail plot, or `None` for the very end, which has no place on it.
fn tail((quantile, micros): (f64, u64)) -> Option<(f64, f64)> {
    (quantile < 1.0).then(|| (1.0 / (1.0 - quantile), (micros as f64 / 1e3).max(0.01)))
}

fn of_seconds(name: &str, seconds: &[Second], value: impl Fn(&Second) -> f64) -> Series {
    let points = seconds
        .iter()
        .enumerate()
        .map(|(second, figures)| (second as f64, value(figures)));
    Series {
        name: name.to_owned(),
        points: points.collect(),
    }
}

fn linear(title: &str, x: &str, y: &str, series: &[Series]) -> Result<String, Error> {
    let right = largest(series, |point| point.0).max(1.0);
    let top = largest(series, |point| point.1).max(1.0) * 1.05;
    draw(|backend| {
        let root = backend.into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, FONT)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
        lines(&mut chart, series)
    })
}

fn lines<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    series: &[Series],
) -> Result<(), Box<dyn core::error::Error>>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    for (place, line) in series.iter().enumerate() {
        let colour = PALETTE[place % PALETTE.len()];
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}

fn draw(paint: impl FnOnce(SVGBackend<'_>) -> Result<(), Box<dyn core::error::Error>>) -> Result<String, Error> {
    let mut svg = String::new();
    paint(SVGBackend::with_string(&mut svg, SIZE)).map_err(|cause| Error::Plot(cause.to_string()))?;
    Ok(svg)
}

fn largest(series: &[Series], part: impl Fn(&(f64, f64)) -> f64) -> f64 {
    let points = series.iter().flat_map(|line| &line.points);
    points.map(part).fold(0.0, f64::max)
}
