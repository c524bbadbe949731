//! Plots a run over time: requests by result, attempts by server (by zone if there are many servers), the number of nodes
//! that sent to a zone with an outage, and the faults.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use plotters::prelude::*;

use crate::fleet;
use crate::outcome::{ClientResult, Request};
use crate::plan::Plan;
use badgerpost_time::{MILLISECOND, Nanos};

/// The number of servers above which attempts are drawn by zone.
const MAX_SERVERS_BY_NAME: usize = 12;
/// The time over which rates are computed.
const INTERVAL: Nanos = 250 * MILLISECOND;

fn seconds(at: Nanos) -> f64 {
    at as f64 / 1e9
}

/// The rate of events a second, by name and number of the interval.
fn rates<'a>(
    events: impl Iterator<Item = (String, Nanos)> + 'a,
) -> BTreeMap<String, BTreeMap<Nanos, f64>> {
    let mut rates: BTreeMap<String, BTreeMap<Nanos, f64>> = BTreeMap::new();
    for (name, at) in events {
        *rates
            .entry(name)
            .or_default()
            .entry(at / INTERVAL)
            .or_default() += 1e9 / INTERVAL as f64;
    }
    rates
}

/// The number of nodes that sent first attempts to each zone with an outage, by number of the interval.
fn sending_nodes(plan: &Plan, log: &[Request]) -> BTreeMap<String, BTreeMap<Nanos, f64>> {
    let mut nodes_by_zone: BTreeMap<String, BTreeMap<Nanos, BTreeSet<&str>>> = BTreeMap::new();
    for outage in fleet::zone_outages(plan) {
        let intervals = nodes_by_zone
            .entry(format!("to {}", outage.zone))
            .or_default();
        for request in log
            .iter()
            .filter(|request| request.first_attempt_is_in(&outage.zone))
        {
            intervals
                .entry(request.arrival / INTERVAL)
                .or_default()
                .insert(&request.node);
        }
    }
    let count = |intervals: BTreeMap<Nanos, BTreeSet<&str>>| {
        intervals
            .into_iter()
            .map(|(number, nodes)| (number, nodes.len() as f64))
            .collect()
    };
    nodes_by_zone
        .into_iter()
        .map(|(zone, intervals)| (zone, count(intervals)))
        .collect()
}

/// One chart, with a line for each name.
struct Panel {
    title: String,
    /// The values by name and number of the interval.
    values: BTreeMap<String, BTreeMap<Nanos, f64>>,
}

fn panels(plan: &Plan, log: &[Request]) -> Vec<Panel> {
    let results = rates(log.iter().map(|request| {
        let name = match request.result() {
            Some(ClientResult::Served) => "served",
            Some(ClientResult::Rejected) => "refused",
            Some(ClientResult::Failed) => "failed",
            None => "no response",
        };
        (name.to_owned(), request.arrival)
    }));
    let by_zone = plan.scenario.spec.servers.len() > MAX_SERVERS_BY_NAME;
    let attempts = log.iter().flat_map(|request| &request.attempts);
    let attempts_by_name = rates(attempts.map(|attempt| {
        let name = if by_zone {
            &attempt.zone
        } else {
            &attempt.server
        };
        (name.clone(), attempt.start)
    }));
    let by = if by_zone { "zone" } else { "server" };
    let mut panels = vec![
        Panel {
            title: format!(
                "{}, seed {}: requests a second by outcome",
                plan.scenario.name, plan.seed
            ),
            values: results,
        },
        Panel {
            title: format!("attempts a second by {by}"),
            values: attempts_by_name,
        },
    ];
    let sending_nodes = sending_nodes(plan, log);
    if !sending_nodes.is_empty() {
        panels.push(Panel {
            title: "nodes that sent to the zone with an outage, in a quarter of a second"
                .to_owned(),
            values: sending_nodes,
        });
    }
    panels
}

/// Draws the charts of a run into an SVG file.
pub fn draw(plan: &Plan, log: &[Request], file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let end = log
        .iter()
        .map(|request| request.arrival + request.timeout)
        .max()
        .unwrap_or(1_000_000_000);
    let panels = panels(plan, log);
    let area = SVGBackend::new(file, (1200, 450 * panels.len() as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    for (area, panel) in area.split_evenly((panels.len(), 1)).iter().zip(&panels) {
        draw_panel(area, panel, plan, end)?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    panel: &Panel,
    plan: &Plan,
    end: Nanos,
) -> Result<(), Box<dyn std::error::Error>> {
    let max_value = panel
        .values
        .values()
        .flat_map(BTreeMap::values)
        .fold(1.0_f64, |max, value| max.max(*value));
    let mut chart = ChartBuilder::on(area)
        .caption(&panel.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds(end), 0.0..max_value * 1.15)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .light_line_style(WHITE)
        .draw()?;
    for fault in &plan.faults {
        let fault_end = fault
            .duration
            .map_or(end, |duration| fault.at.saturating_add(duration))
            .min(end);
        let corners = [
            (seconds(fault.at), 0.0),
            (seconds(fault_end), max_value * 1.15),
        ];
        chart.draw_series([Rectangle::new(corners, RED.mix(0.07).filled())])?;
        let label = (seconds(fault.at), max_value * 1.13);
        chart.draw_series([Text::new(fault.kind.name(), label, ("sans-serif", 11))])?;
    }
    for (number, (name, values)) in panel.values.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let line = (0..=end / INTERVAL).map(|interval| {
            (
                seconds(interval * INTERVAL + INTERVAL / 2),
                values.get(&interval).copied().unwrap_or(0.0),
            )
        });
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
