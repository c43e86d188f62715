//! Measured slopes, their printed form, and the Parquet file.

use super::fit::{choose, Choice, Point};
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedFileWriter, SerializedRowGroupWriter};
use parquet::schema::parser::parse_message_type;
use std::fmt;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// The participant that bears a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Proxy,
    Cache,
    Journal,
    Operators,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Proxy => "front",
            Role::Cache => "cache",
            Role::Journal => "journal service",
            Role::Operators => "operators",
        })
    }
}

/// How a slope was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Processes of the program, connected to test servers.
    Processes,
    /// A complete fleet of real state machines in one process, with a simulated network and clock.
    FleetInOneProcess,
    /// One real state machine, called directly.
    Module,
    /// Real sockets, but the measured side is a test server.
    TestServer,
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Method::Processes => "processes",
            Method::FleetInOneProcess => "fleet in one process",
            Method::Module => "one module",
            Method::TestServer => "stand-in",
        })
    }
}

/// The permitted cost at the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Budget {
    AtMost(f64),
    AtLeast(f64),
    /// The target sets no budget for this cost.
    None,
}

/// The measured growth of one cost with the quantity that drives it.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Short and unique; also the name of the plot's file.
    pub name: &'static str,
    pub role: Role,
    pub cost: &'static str,
    pub unit: &'static str,
    pub driver: &'static str,
    pub method: Method,
    pub points: Vec<Point>,
    /// The driver's value at the target.
    pub target: f64,
    pub budget: Budget,
}

impl Slope {
    /// The best fit of the points; none if nothing can be fitted.
    pub fn choice(&self) -> Option<Choice> {
        choose(&self.points)
    }

    /// The largest value of the driver that was measured.
    pub fn largest_driver(&self) -> f64 {
        self.points.iter().map(|p| p.x).fold(0.0, f64::max)
    }

    /// The measured range of the driver, and how far it is extrapolated, as text.
    pub fn measured_range(&self) -> String {
        let least = self
            .points
            .iter()
            .map(|p| p.x)
            .fold(f64::INFINITY, f64::min);
        let most = self.largest_driver();
        if self.target > most {
            format!("{least} to {most} measured, extended to {}", self.target)
        } else {
            format!(
                "{least} to {most} measured, which holds the target of {}",
                self.target
            )
        }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}, {} over {} [{}; {}]",
            self.role,
            self.cost,
            self.unit,
            self.driver,
            self.method,
            self.measured_range()
        )?;
        let measured: Vec<String> = self
            .points
            .iter()
            .map(|p| format!("{}: {}", p.x, format_short(p.y)))
            .collect();
        write!(f, "\n    seen {}", measured.join(", "))?;
        let Some(Choice { best, runner_up }) = self.choice() else {
            return write!(f, "\n    no fit");
        };
        let value = best.cost_at(self.target);
        write!(
            f,
            "\n    {}, residual {:.1} %: {} at the target",
            best.form,
            best.relative_residual * 100.0,
            format_short(value)
        )?;
        if let Some(runner_up) = runner_up {
            write!(
                f,
                " ({} if {}, residual {:.1} %)",
                format_short(runner_up.cost_at(self.target)),
                runner_up.form,
                runner_up.relative_residual * 100.0
            )?;
        }
        match self.budget {
            Budget::None => write!(f, "; no budget named"),
            Budget::AtMost(most) => {
                write!(
                    f,
                    "; budget {}, {:.0} % used",
                    format_short(most),
                    100.0 * value / most
                )?;
                match best.driver_at(most) {
                    Some(at) if at < self.target => write!(f, ", passed at {}", format_short(at)),
                    _ => Ok(()),
                }
            }
            Budget::AtLeast(least) => {
                write!(
                    f,
                    "; at least {}, {}",
                    format_short(least),
                    if value >= least { "held" } else { "missed" }
                )
            }
        }
    }
}

/// Formats a number of any magnitude with a few digits.
pub fn format_short(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 || magnitude == 0.0 {
        format!("{value:.0}")
    } else if magnitude >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.3e}")
    }
}

/// One row for each measured point. Each row repeats the values of its slope; the column encoding compresses them to
/// almost nothing.
const SCHEMA: &str = "message slopes {
    REQUIRED BYTE_ARRAY name (STRING);
    REQUIRED BYTE_ARRAY role (STRING);
    REQUIRED BYTE_ARRAY cost (STRING);
    REQUIRED BYTE_ARRAY unit (STRING);
    REQUIRED BYTE_ARRAY driver (STRING);
    REQUIRED BYTE_ARRAY method (STRING);
    REQUIRED BYTE_ARRAY form (STRING);
    REQUIRED DOUBLE x;
    REQUIRED DOUBLE y;
    REQUIRED DOUBLE residual;
    REQUIRED DOUBLE target;
    REQUIRED DOUBLE value_at_target;
    REQUIRED DOUBLE budget;
}";

type RowGroup<'a> = SerializedRowGroupWriter<'a, File>;

fn write_text_column(group: &mut RowGroup, values: &[String]) -> Result<(), ParquetError> {
    let values: Vec<ByteArray> = values
        .iter()
        .map(|text| ByteArray::from(text.as_str()))
        .collect();
    let Some(mut column) = group.next_column()? else {
        return Err(ParquetError::EOF(
            "the row group has no further column".into(),
        ));
    };
    column
        .typed::<ByteArrayType>()
        .write_batch(&values, None, None)?;
    column.close()
}

fn write_number_column(group: &mut RowGroup, values: &[f64]) -> Result<(), ParquetError> {
    let Some(mut column) = group.next_column()? else {
        return Err(ParquetError::EOF(
            "the row group has no further column".into(),
        ));
    };
    column
        .typed::<DoubleType>()
        .write_batch(values, None, None)?;
    column.close()
}

/// Writes all points to a Parquet file.
pub fn write_parquet(path: &Path, slopes: &[Slope]) -> Result<(), ParquetError> {
    let schema = Arc::new(parse_message_type(SCHEMA)?);
    let file = File::create(path)?;
    let mut writer =
        SerializedFileWriter::new(file, schema, Arc::new(WriterProperties::default()))?;
    let rows: Vec<(&Slope, Point)> = slopes
        .iter()
        .flat_map(|slope| slope.points.iter().map(move |point| (slope, *point)))
        .collect();
    let text = |value: &dyn Fn(&Slope) -> String| {
        rows.iter()
            .map(|(slope, _)| value(slope))
            .collect::<Vec<_>>()
    };
    let number = |value: &dyn Fn(&Slope, Point) -> f64| {
        rows.iter()
            .map(|(slope, point)| value(slope, *point))
            .collect::<Vec<_>>()
    };
    let best = |slope: &Slope| slope.choice().map(|choice| choice.best);
    let mut group = writer.next_row_group()?;
    write_text_column(&mut group, &text(&|s| s.name.into()))?;
    write_text_column(&mut group, &text(&|s| s.role.to_string()))?;
    write_text_column(&mut group, &text(&|s| s.cost.into()))?;
    write_text_column(&mut group, &text(&|s| s.unit.into()))?;
    write_text_column(&mut group, &text(&|s| s.driver.into()))?;
    write_text_column(&mut group, &text(&|s| s.method.to_string()))?;
    write_text_column(
        &mut group,
        &text(&|s| best(s).map_or("none".into(), |fit| fit.form.to_string())),
    )?;
    write_number_column(&mut group, &number(&|_, p| p.x))?;
    write_number_column(&mut group, &number(&|_, p| p.y))?;
    write_number_column(
        &mut group,
        &number(&|s, _| best(s).map_or(f64::NAN, |fit| fit.residual)),
    )?;
    write_number_column(&mut group, &number(&|s, _| s.target))?;
    write_number_column(
        &mut group,
        &number(&|s, _| best(s).map_or(f64::NAN, |fit| fit.cost_at(s.target))),
    )?;
    write_number_column(
        &mut group,
        &number(&|s, _| match s.budget {
            Budget::AtMost(budget) | Budget::AtLeast(budget) => budget,
            Budget::None => f64::NAN,
        }),
    )?;
    group.close()?;
    writer.close().map(drop)
}
