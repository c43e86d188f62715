//! One plot for each slope, with the measured points, the fit up to the target, and the budget.

use super::results::{Budget, Slope};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE_PIXELS: (u32, u32) = (720, 440);
const CURVE_STEPS: usize = 100;

/// Writes `NAME.svg` into the folder; the driver's axis is logarithmic.
pub fn draw(folder: &Path, slope: &Slope) -> Result<(), Box<dyn Error>> {
    let path = folder.join(format!("{}.svg", slope.name));
    let least = slope
        .points
        .iter()
        .map(|p| p.x)
        .fold(slope.target, f64::min)
        .max(1e-3);
    let most = slope.largest_driver().max(slope.target) * 1.05;
    let fit = slope.choice().map(|choice| choice.best);
    let curve: Vec<(f64, f64)> = (0..=CURVE_STEPS)
        .map(|step| least * (most / least).powf(step as f64 / CURVE_STEPS as f64))
        .filter_map(|x| fit.map(|fit| (x, fit.cost_at(x))))
        .collect();
    let budget = match slope.budget {
        Budget::AtMost(budget) | Budget::AtLeast(budget) => Some(budget),
        Budget::None => None,
    };
    let measured = slope.points.iter().map(|p| p.y);
    let highest = measured
        .chain(curve.iter().map(|(_, y)| *y))
        .chain(budget)
        .fold(f64::MIN_POSITIVE, f64::max);
    let root = SVGBackend::new(&path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!("{}: {}", slope.role, slope.cost);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d((least..most).log_scale(), 0.0..highest * 1.05)?;
    let description = format!(
        "{} ({}; {})",
        slope.driver,
        slope.method,
        slope.measured_range()
    );
    chart
        .configure_mesh()
        .x_desc(description)
        .y_desc(slope.unit)
        .draw()?;
    chart.draw_series(LineSeries::new(curve, &BLUE))?;
    if let Some(budget) = budget {
        chart.draw_series(LineSeries::new([(least, budget), (most, budget)], &RED))?;
    }
    let dots = slope
        .points
        .iter()
        .filter(|p| p.x > 0.0)
        .map(|p| Circle::new((p.x, p.y), 4, BLACK.filled()));
    chart.draw_series(dots)?;
    root.present()?;
    Ok(())
}
