//! The output of a measurement: the Parquet file, the printed slopes and the plots.

use meadowrill_benchmarks::scale::fit::Point;
use meadowrill_benchmarks::scale::plot::draw;
use meadowrill_benchmarks::scale::results::{write_parquet, Budget, Method, Role, Slope};
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use std::fs::{self, File};

fn slope(name: &'static str, budget: Budget) -> Slope {
    Slope {
        name,
        role: Role::Proxy,
        cost: "view in calm, sent",
        unit: "bytes/s",
        driver: "fronts",
        method: Method::FleetInOneProcess,
        points: [10.0, 20.0, 40.0, 80.0]
            .map(|x| Point {
                x,
                y: 5.0 + 2.0 * x,
            })
            .to_vec(),
        target: 1_000.0,
        budget,
    }
}

#[test]
fn the_file_has_each_point_with_its_fit() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("slopes.parquet");
    write_parquet(
        &path,
        &[
            slope("one", Budget::AtMost(600.0)),
            slope("two", Budget::None),
        ],
    )
    .expect("written");
    let reader = SerializedFileReader::new(File::open(&path).expect("a file")).expect("Parquet");
    let rows: Vec<_> = reader
        .get_row_iter(None)
        .expect("rows")
        .map(|row| row.expect("a row"))
        .collect();
    assert_eq!(rows.len(), 8);
    let first = &rows[0];
    assert_eq!(first.get_string(0).expect("a name"), "one");
    assert_eq!(
        first.get_string(5).expect("a method"),
        "fleet in one process"
    );
    assert_eq!(first.get_string(6).expect("a form"), "linear");
    assert_eq!(
        (
            first.get_double(7).expect("x"),
            first.get_double(8).expect("y")
        ),
        (10.0, 25.0)
    );
    assert!((first.get_double(11).expect("a value") - 2_005.0).abs() < 1e-6);
    assert_eq!(first.get_double(12).expect("a budget"), 600.0);
    assert_eq!(rows[4].get_string(0).expect("a name"), "two");
    assert!(rows[4].get_double(12).expect("no budget").is_nan());
}

#[test]
fn a_printed_slope_has_its_extrapolation_and_where_it_exceeds_its_budget() {
    let text = slope("one", Budget::AtMost(605.0)).to_string();
    assert!(
        text.contains("10 to 80 measured, extended to 1000"),
        "{text}"
    );
    assert!(
        text.contains("linear") && text.contains("passed at 300"),
        "{text}"
    );
    let within = Slope {
        target: 60.0,
        ..slope("one", Budget::AtMost(605.0))
    }
    .to_string();
    assert!(within.contains("which holds the target of 60"), "{within}");
    assert!(!within.contains("passed"), "{within}");
}

#[test]
fn each_slope_has_its_plot() {
    let folder = tempfile::tempdir().expect("temporary folder");
    draw(folder.path(), &slope("one", Budget::AtMost(600.0))).expect("drawn");
    let text = fs::read_to_string(folder.path().join("one.svg")).expect("a file");
    assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"));
    assert_eq!(text.matches("<circle").count(), 4);
}
