//! Least-squares fits of a cost against its driver, and the choice of the form that describes it best.
//!
//! Every form but the constant is `a + b * g(x)`, so these forms have the same number of parameters and their residuals
//! can be compared directly. The constant is chosen unless another form explains most of its residual.

use std::fmt;

/// A growing form replaces the constant only if it leaves less than this share of the constant's residual.
const CLEARLY_BETTER: f64 = 0.5;
/// A residual below this share of the mean is a rounding error, so the constant, the simplest form, is exact.
const EXACT: f64 = 1e-9;

/// One measurement: the driver's value `x` and the measured cost `y`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub x: f64,
    pub y: f64,
}

/// How a cost grows with its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Constant,
    Logarithmic,
    Linear,
    Quadratic,
}

impl Form {
    /// All forms, from the slowest growth to the fastest.
    pub const ALL: [Form; 4] = [
        Form::Constant,
        Form::Logarithmic,
        Form::Linear,
        Form::Quadratic,
    ];

    fn basis(self, x: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Logarithmic => x.ln(),
            Form::Linear => x,
            Form::Quadratic => x * x,
        }
    }

    fn inverse(self, basis: f64) -> Option<f64> {
        match self {
            Form::Constant => None,
            Form::Logarithmic => Some(basis.exp()),
            Form::Linear => Some(basis),
            Form::Quadratic => (basis >= 0.0).then(|| basis.sqrt()),
        }
    }

    fn parameters(self) -> usize {
        if self == Form::Constant {
            1
        } else {
            2
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Form::Constant => "constant",
            Form::Logarithmic => "logarithmic",
            Form::Linear => "linear",
            Form::Quadratic => "quadratic",
        })
    }
}

/// `intercept + slope * g(x)`, with the root mean square of the residuals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub form: Form,
    pub intercept: f64,
    pub slope: f64,
    /// In the unit of the cost, corrected for the number of fitted parameters.
    pub residual: f64,
    /// The residual as a share of the mean cost.
    pub relative_residual: f64,
}

impl Fit {
    /// The least-squares fit of one form. None if there are too few points, or if the form cannot be fitted to them.
    pub fn of(form: Form, points: &[Point]) -> Option<Fit> {
        let count = points.len();
        if count <= form.parameters() || points.iter().any(|p| !p.x.is_finite() || !p.y.is_finite())
        {
            return None;
        }
        if form == Form::Logarithmic && points.iter().any(|p| p.x <= 0.0) {
            return None;
        }
        let mean =
            |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count as f64;
        let mean_basis = mean(&|p| form.basis(p.x));
        let mean_cost = mean(&|p| p.y);
        let spread = mean(&|p| (form.basis(p.x) - mean_basis).powi(2));
        let covariance = mean(&|p| (form.basis(p.x) - mean_basis) * (p.y - mean_cost));
        if form != Form::Constant && spread <= 0.0 {
            return None;
        }
        let slope = if form == Form::Constant {
            0.0
        } else {
            covariance / spread
        };
        let intercept = mean_cost - slope * mean_basis;
        let squares: f64 = points
            .iter()
            .map(|p| (p.y - intercept - slope * form.basis(p.x)).powi(2))
            .sum();
        let residual = (squares / (count - form.parameters()) as f64).sqrt();
        let relative_residual = if mean_cost == 0.0 {
            residual
        } else {
            residual / mean_cost.abs()
        };
        Some(Fit {
            form,
            intercept,
            slope,
            residual,
            relative_residual,
        })
    }

    /// The fitted cost at a value of the driver.
    pub fn cost_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * self.form.basis(x)
    }

    /// The driver's value at which the fitted cost rises to `cost`. None if the cost does not grow to it.
    pub fn driver_at(&self, cost: f64) -> Option<f64> {
        if self.slope <= 0.0 {
            return None;
        }
        let x = self.form.inverse((cost - self.intercept) / self.slope)?;
        (x.is_finite() && x > 0.0).then_some(x)
    }
}

/// The chosen fit, and the next best fit of another form, which shows the extrapolation if the choice were wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    pub best: Fit,
    pub runner_up: Option<Fit>,
}

/// Chooses the form with the smallest residual, or the constant unless another form is clearly better.
pub fn choose(points: &[Point]) -> Option<Choice> {
    let constant = Fit::of(Form::Constant, points)?;
    let mut growing: Vec<Fit> = Form::ALL[1..]
        .iter()
        .filter_map(|form| Fit::of(*form, points))
        .collect();
    growing.sort_by(|a, b| a.residual.total_cmp(&b.residual));
    let Some(first) = growing.first().copied() else {
        return Some(Choice {
            best: constant,
            runner_up: None,
        });
    };
    let constant_is_best =
        constant.relative_residual <= EXACT || first.residual > constant.residual * CLEARLY_BETTER;
    if constant_is_best {
        return Some(Choice {
            best: constant,
            runner_up: Some(first),
        });
    }
    Some(Choice {
        best: first,
        runner_up: growing.get(1).copied(),
    })
}
