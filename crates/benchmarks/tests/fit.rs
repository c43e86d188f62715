//! The fits behind docs/CAPACITY.md: fits of known curves, with and without noise, and their extrapolation.

use meadowrill_benchmarks::scale::fit::{choose, Fit, Form, Point};

const SIZES: [f64; 6] = [16.0, 64.0, 128.0, 256.0, 512.0, 1024.0];
const TARGET: f64 = 5000.0;
/// Seeds of the noise; each form has to be recognized with every one of them.
const SEEDS: u64 = 200;

type Curve = fn(f64) -> f64;

fn points(mut cost: impl FnMut(f64) -> f64) -> Vec<Point> {
    SIZES.iter().map(|x| Point { x: *x, y: cost(*x) }).collect()
}

/// Points of a curve with noise of up to `share` of each value.
fn noisy(seed: u64, share: f64, cost: impl Fn(f64) -> f64) -> Vec<Point> {
    let mut random = fastrand::Rng::with_seed(seed);
    points(|x| cost(x) * (1.0 + share * (2.0 * random.f64() - 1.0)))
}

fn form(points: &[Point]) -> Form {
    choose(points).expect("a fit").best.form
}

fn logarithm(x: f64) -> f64 {
    20.0 + 17.0 * x.ln()
}

fn line(x: f64) -> f64 {
    3.0 + 0.7 * x
}

fn square(x: f64) -> f64 {
    5.0 + 0.02 * x * x
}

#[test]
fn exact_curves_are_recognized_and_extrapolated_exactly() {
    let curves: [(Form, Curve); 4] = [
        (Form::Constant, |_| 42.0),
        (Form::Logarithmic, logarithm),
        (Form::Linear, line),
        (Form::Quadratic, square),
    ];
    for (want, cost) in curves {
        let choice = choose(&points(cost)).expect("a fit");
        assert_eq!(choice.best.form, want);
        assert!(
            choice.best.relative_residual < 1e-6,
            "{want}: residual {}",
            choice.best.relative_residual
        );
        let deviation = (choice.best.cost_at(TARGET) / cost(TARGET) - 1.0).abs();
        assert!(deviation < 1e-6, "{want}: {deviation} off at the target");
        if let Some(runner_up) = choice.runner_up {
            assert_ne!(runner_up.form, want);
            assert!(runner_up.residual >= choice.best.residual || want == Form::Constant);
        }
    }
}

#[test]
fn the_form_of_growth_is_recognized_with_noise() {
    let curves: [(Form, Curve); 3] = [
        (Form::Logarithmic, logarithm),
        (Form::Linear, line),
        (Form::Quadratic, square),
    ];
    for (want, cost) in curves {
        for seed in 0..SEEDS {
            let points = noisy(seed, 0.03, cost);
            assert_eq!(form(&points), want, "seed {seed}");
            let deviation =
                (choose(&points).expect("a fit").best.cost_at(TARGET) / cost(TARGET) - 1.0).abs();
            assert!(
                deviation < 0.15,
                "{want}, seed {seed}: {deviation} off at the target"
            );
        }
    }
}

#[test]
fn noise_around_a_constant_is_not_recognized_as_growth() {
    let misjudged = (0..SEEDS)
        .filter(|seed| form(&noisy(*seed, 0.05, |_| 660.0)) != Form::Constant)
        .count();
    assert!(
        misjudged * 10 < SEEDS as usize,
        "{misjudged} of {SEEDS} were recognized as growth"
    );
}

#[test]
fn the_wrong_form_has_the_larger_residual() {
    for (right, wrong, cost) in [
        (Form::Logarithmic, Form::Linear, logarithm as Curve),
        (Form::Linear, Form::Logarithmic, line),
        (Form::Linear, Form::Quadratic, line),
        (Form::Quadratic, Form::Linear, square),
    ] {
        let points = points(cost);
        let residual = |form| Fit::of(form, &points).expect("a fit").residual;
        assert!(
            residual(wrong) > 100.0 * residual(right).max(1e-9),
            "{wrong} against {right}"
        );
    }
}

#[test]
fn a_budget_is_reached_where_the_curve_crosses_it() {
    for (form, cost) in [
        (Form::Logarithmic, logarithm as Curve),
        (Form::Linear, line),
        (Form::Quadratic, square),
    ] {
        let fit = Fit::of(form, &points(cost)).expect("a fit");
        let driver = fit.driver_at(cost(300.0)).expect("it is reached");
        assert!((driver / 300.0 - 1.0).abs() < 1e-6, "{form}: {driver}");
    }
    let falling = Fit::of(Form::Linear, &points(|x| 900.0 - x)).expect("a fit");
    assert_eq!(falling.driver_at(5000.0), None);
    let constant = Fit::of(Form::Constant, &points(|_| 4.0)).expect("a fit");
    assert_eq!(constant.driver_at(5.0), None);
}

#[test]
fn points_that_do_not_determine_a_fit_have_none() {
    let two = &points(line)[..2];
    assert_eq!(Fit::of(Form::Linear, two), None);
    let same_driver = [
        Point { x: 8.0, y: 1.0 },
        Point { x: 8.0, y: 2.0 },
        Point { x: 8.0, y: 3.0 },
    ];
    assert_eq!(Fit::of(Form::Linear, &same_driver), None);
    let with_zero = [0.0, 1.0, 2.0].map(|x| Point { x, y: x });
    assert_eq!(Fit::of(Form::Logarithmic, &with_zero), None);
    let with_nan = [1.0, 2.0, f64::NAN, 4.0].map(|x| Point { x, y: x });
    assert_eq!(choose(&with_nan), None);
}
