//! Results of trials as JSON, as Markdown tables and as a plot.

mod cost;
pub mod ledger;
mod plot;
mod summary;
mod table;

pub use self::{
    cost::Cost,
    plot::attainment,
    summary::{Count, PhaseFigure, Report, Second, Summary},
    table::markdown,
};
