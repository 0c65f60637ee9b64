//! Plots the attainment in each second of the trials as SVG.

use super::summary::{Report, Second, Summary};
use plotters::backend::SVGBackend;
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea as _,
    element::PathElement,
    series::LineSeries,
    style::{BLACK, BLUE, Color as _, GREEN, MAGENTA, RED, RGBColor, WHITE},
};
use std::{io, path::Path};

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Size of the area for axis labels, in pixels.
const LABELS: u32 = 40;

const COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Writes a plot of the attainment of all trials to an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn attainment(report: &Report, path: &Path) -> io::Result<()> {
    draw(report, path).map_err(|error| io::Error::other(error.to_string()))
}

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let length = report.trials.iter().map(|one| one.seconds.len()).max();
    let title = format!("{}: attainment by second offered, in per cent", report.name);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0..length.unwrap_or(1), 0.0..105.0)?;
    chart.configure_mesh().x_desc("second").draw()?;
    for (summary, colour) in report.trials.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(points(summary), &colour))?
            .label(summary.policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn points(summary: &Summary) -> impl Iterator<Item = (usize, f64)> + '_ {
    let percent = |second: &Second| second.attained as f64 * 100.0 / second.offered as f64;
    let seconds = summary.seconds.iter().enumerate();
    seconds
        .filter(|(_, second)| second.offered > 0)
        .map(move |(at, second)| (at, percent(second)))
}
