//! A picture of a run: requests a second over time by outcome, attempts by server or, of many servers, by zone, how many
//! nodes sent to a zone that was in trouble, and the faults.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use plotters::prelude::*;

use crate::fleet;
use crate::outcome::{ClientResult, Request};
use crate::plan::Plan;
use badgerpost_time::{MILLISECOND, Nanos};

/// With more servers than this their zones are drawn.
const MANY: usize = 12;
/// The width of a bar.
const STEP: Nanos = 250 * MILLISECOND;

fn seconds(at: Nanos) -> f64 {
    at as f64 / 1e9
}

/// Counts a second, by name, over steps of time.
fn rates<'a>(
    events: impl Iterator<Item = (String, Nanos)> + 'a,
) -> BTreeMap<String, BTreeMap<Nanos, f64>> {
    let mut rates: BTreeMap<String, BTreeMap<Nanos, f64>> = BTreeMap::new();
    for (name, at) in events {
        *rates.entry(name).or_default().entry(at / STEP).or_default() += 1e9 / STEP as f64;
    }
    rates
}

/// How many nodes sent first attempts to each zone that was in trouble, by step.
fn senders(plan: &Plan, log: &[Request]) -> BTreeMap<String, BTreeMap<Nanos, f64>> {
    let mut senders: BTreeMap<String, BTreeMap<Nanos, BTreeSet<&str>>> = BTreeMap::new();
    for outage in fleet::zone_outages(plan) {
        let steps = senders.entry(format!("to {}", outage.zone)).or_default();
        for one in log
            .iter()
            .filter(|one| one.first_attempt_is_in(&outage.zone))
        {
            steps
                .entry(one.arrival / STEP)
                .or_default()
                .insert(&one.node);
        }
    }
    let count = |steps: BTreeMap<Nanos, BTreeSet<&str>>| {
        steps
            .into_iter()
            .map(|(step, nodes)| (step, nodes.len() as f64))
            .collect()
    };
    senders
        .into_iter()
        .map(|(zone, steps)| (zone, count(steps)))
        .collect()
}

/// One chart: rates over time, by name.
struct Panel {
    title: String,
    rates: BTreeMap<String, BTreeMap<Nanos, f64>>,
}

fn panels(plan: &Plan, log: &[Request]) -> Vec<Panel> {
    let outcomes = rates(log.iter().map(|request| {
        let name = match request.result() {
            Some(ClientResult::Served) => "served",
            Some(ClientResult::Rejected) => "refused",
            Some(ClientResult::Failed) => "failed",
            None => "no answer",
        };
        (name.to_owned(), request.arrival)
    }));
    let by_zone = plan.scenario.spec.servers.len() > MANY;
    let attempts = log.iter().flat_map(|request| &request.attempts);
    let servers = rates(attempts.map(|attempt| {
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
            rates: outcomes,
        },
        Panel {
            title: format!("attempts a second by {by}"),
            rates: servers,
        },
    ];
    let senders = senders(plan, log);
    if !senders.is_empty() {
        panels.push(Panel {
            title: "nodes that sent to the zone in trouble, in a quarter of a second".to_owned(),
            rates: senders,
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
    let most = panel
        .rates
        .values()
        .flat_map(BTreeMap::values)
        .fold(1.0_f64, |most, rate| most.max(*rate));
    let mut chart = ChartBuilder::on(area)
        .caption(&panel.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds(end), 0.0..most * 1.15)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .light_line_style(WHITE)
        .draw()?;
    for fault in &plan.faults {
        let ends = fault
            .duration
            .map_or(end, |duration| fault.at.saturating_add(duration))
            .min(end);
        let corners = [(seconds(fault.at), 0.0), (seconds(ends), most * 1.15)];
        chart.draw_series([Rectangle::new(corners, RED.mix(0.07).filled())])?;
        let label = (seconds(fault.at), most * 1.13);
        chart.draw_series([Text::new(fault.kind.name(), label, ("sans-serif", 11))])?;
    }
    for (number, (name, rate)) in panel.rates.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let line = (0..=end / STEP).map(|step| {
            (
                seconds(step * STEP + STEP / 2),
                rate.get(&step).copied().unwrap_or(0.0),
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
