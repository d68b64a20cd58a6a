//! Draws cost against latency per policy into a folder: `plots FOLDER`.

use std::error::Error;
use std::path::Path;

use bergamotshift_replay::Fault;
use bergamotshift_replay::Ladder;
use bergamotshift_replay::Load;
use bergamotshift_replay::Plan;
use bergamotshift_replay::Report;
use bergamotshift_replay::ladder::TARGET;
use bergamotshift_route::policy;
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 520);
const COLOURS: [RGBColor; 5] = [
    RGBColor(150, 150, 150),
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(140, 86, 75),
    RGBColor(44, 160, 44),
];

/// What one chart shows over the cost per million tokens.
struct Axis {
    name: &'static str,
    title: &'static str,
    most: f64,
    target: f64,
    value: fn(&Report) -> f64,
}

const AXES: [Axis; 2] = [
    Axis {
        name: "missed",
        title: "urgent model requests out of target, in 100",
        most: 20.0,
        target: 100.0 * (1.0 - TARGET),
        value: |report| 100.0 * (1.0 - report.urgent_model_in_target),
    },
    Axis {
        name: "first-token",
        title: "95th of 100 times to the first token, in ms",
        most: 4_000.0,
        target: 2_000.0,
        value: |report| report.first_token_p95_ms,
    },
];

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args().nth(1).ok_or("usage: plots FOLDER")?;
    let folder = Path::new(&folder);
    for load in Load::TODAY {
        for fault in [Fault::Calm, Fault::Zone] {
            let ladders = Plan::of(load, fault).run(&policy::names())?;
            for axis in &AXES {
                let file = format!("{}-{}-{}.svg", load.name(), fault.name(), axis.name);
                let title = format!("{}, {}", load.name(), fault.name());
                draw(&folder.join(file), &title, axis, &ladders)?;
            }
        }
    }
    Ok(())
}

fn draw(path: &Path, title: &str, axis: &Axis, ladders: &[Ladder]) -> Result<(), Box<dyn Error>> {
    const MOST_COST: f64 = 6.0;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..MOST_COST, 0.0..axis.most)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("cost per million tokens in target")
        .y_desc(axis.title)
        .draw()?;
    let target = [(0.0, axis.target), (MOST_COST, axis.target)];
    chart.draw_series(LineSeries::new(target, BLACK.mix(0.6)))?;
    for (ladder, colour) in ladders.iter().zip(COLOURS) {
        let shown = ladder.rungs.iter().filter(|rung| rung.cost_per_million <= MOST_COST);
        let points: Vec<(f64, f64)> = shown
            .map(|rung| (rung.cost_per_million, (axis.value)(rung)))
            .filter(|point| point.1 <= axis.most)
            .collect();
        chart
            .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
            .label(&ladder.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart.draw_series(points.into_iter().map(|point| Circle::new(point, 3, colour.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}
