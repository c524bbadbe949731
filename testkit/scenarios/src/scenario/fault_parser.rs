//! Parses the `[[fault]]` tables of a scenario into planned faults.

use std::ops::Range;

use badgerpost_settings::file::{FileError, Source};
use badgerpost_time::{MILLISECOND, Nanos};
use toml::Spanned;

use super::fault::{
    FaultKind, FaultTarget, LinkEnd, LinkFault, LinkFaultKind, PlannedFault, TargetGroup,
};
use super::fault_kinds::{FaultScope, KINDS, KindDefinition};
use super::schema::{Fault, Scenario};
use super::validation::{MAX_DURATION_MS, check_range};
use crate::index::{TargetIndex, ZoneIndex};

/// The maximum number of repetitions of a fault, and of waves of a group.
const MAX_OCCURRENCES: u64 = 1000;

/// Parses all faults of a scenario and returns them sorted by start time.
pub(super) fn parse_faults(
    scenario: &Scenario,
    source: &Source,
) -> Result<Vec<PlannedFault>, FileError> {
    let mut planned = Vec::new();
    for fault in &scenario.faults {
        let parser = FaultParser {
            fault,
            scenario,
            source,
        };
        planned.extend(parser.parse()?);
    }
    planned.sort_by_key(|fault| fault.at);
    Ok(planned)
}

struct FaultParser<'a> {
    fault: &'a Fault,
    scenario: &'a Scenario,
    source: &'a Source,
}

/// A key of a fault table, with the key's position if present and whether the fault's kind and target allow the key.
struct KeyUse {
    name: &'static str,
    span: Option<Range<usize>>,
    is_allowed: bool,
}

impl FaultParser<'_> {
    fn parse(&self) -> Result<Vec<PlannedFault>, FileError> {
        let definition = self.definition()?;
        self.check_target_keys(definition)?;
        self.check_keys(definition)?;
        let kind = self.kind(definition)?;
        let target = self.target(definition.scope)?;
        self.schedule(kind, target)
    }

    fn definition(&self) -> Result<&'static KindDefinition, FileError> {
        let name = &self.fault.kind;
        let definition = KINDS.iter().find(|known| known.name == name.get_ref());
        definition.ok_or_else(|| {
            let known = KINDS.map(|known| known.name).join(", ");
            self.source.error_at(
                name.span(),
                format!("unknown kind of fault; known kinds: {known}"),
            )
        })
    }

    fn missing_key(&self, definition: &KindDefinition, key: &str) -> FileError {
        let problem = format!("`{}` requires the key `{key}`", definition.name);
        self.source.error_at(self.fault.kind.span(), problem)
    }

    fn misplaced_key(
        &self,
        definition: &KindDefinition,
        key: &str,
        span: Range<usize>,
    ) -> FileError {
        let problem = format!("`{key}` is not allowed for `{}`", definition.name);
        self.source.error_at(span, problem)
    }

    /// Checks that the table has a target, and names a server or node only if the kind affects servers or nodes.
    fn check_target_keys(&self, definition: &KindDefinition) -> Result<(), FileError> {
        let fault = self.fault;
        let has_group = fault.zone.is_some() || fault.fraction.is_some();
        for (name, key, scope) in [
            (&fault.server, "server", FaultScope::Server),
            (&fault.node, "node", FaultScope::Node),
        ] {
            let is_in_scope = definition.scope == scope;
            match name {
                None if is_in_scope && !has_group => {
                    return Err(self.missing_key(definition, &format!("{key}` or `zone")));
                }
                Some(name) if !is_in_scope => {
                    return Err(self.misplaced_key(definition, key, name.span()));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that the kind allows all other keys that are present, and that the required key is present.
    fn check_keys(&self, definition: &KindDefinition) -> Result<(), FileError> {
        for key in self.key_uses(definition) {
            let is_required = definition.required_key == Some(key.name);
            match key.span {
                Some(span) if !key.is_allowed => {
                    return Err(self.misplaced_key(definition, key.name, span));
                }
                None if is_required => return Err(self.missing_key(definition, key.name)),
                _ => {}
            }
        }
        Ok(())
    }

    fn key_uses(&self, definition: &KindDefinition) -> [KeyUse; 10] {
        let fault = self.fault;
        let is_single = fault.server.is_some() || fault.node.is_some();
        let may_be_group = !is_single && definition.scope != FaultScope::Discovery;
        let is_link = matches!(definition.kind, FaultKind::Link(_));
        let has_probability = definition.may_have_probability();
        let is_required = |name| definition.required_key == Some(name);
        [
            key_use("zone", &fault.zone, may_be_group),
            key_use("share", &fault.fraction, may_be_group),
            key_use("to", &fault.to, is_link),
            key_use("way", &fault.direction, is_link),
            key_use("chance", &fault.probability, has_probability),
            key_use("waves", &fault.waves, may_be_group),
            key_use(
                "after_bytes",
                &fault.after_bytes,
                is_required("after_bytes"),
            ),
            key_use("by_ms", &fault.delay_ms, is_required("by_ms")),
            key_use("times", &fault.slowdown, is_required("times")),
            key_use("loss", &fault.loss, is_required("loss")),
        ]
    }

    /// The kind with the values of the file.
    fn kind(&self, definition: &KindDefinition) -> Result<FaultKind, FileError> {
        let fault = self.fault;
        self.float_in_range(&fault.probability, 0.0, 1.0)?;
        Ok(match definition.kind {
            FaultKind::ResetConnection { .. } => FaultKind::ResetConnection {
                after: value_or(&fault.after_bytes, 0),
            },
            FaultKind::DelayResponse { .. } => FaultKind::DelayResponse { by: self.delay() },
            FaultKind::SlowDown { .. } => FaultKind::SlowDown {
                percent: (self.float_in_range(&fault.slowdown, 1.0, 1000.0)? * 100.0) as u32,
            },
            FaultKind::Link(link) => FaultKind::Link(self.link(link)?),
            kind => kind,
        })
    }

    fn delay(&self) -> Nanos {
        value_or(&self.fault.delay_ms, 0).min(MAX_DURATION_MS) * MILLISECOND
    }

    fn link(&self, link: LinkFault) -> Result<LinkFault, FileError> {
        let kind = match link.kind {
            LinkFaultKind::Slow { .. } => LinkFaultKind::Slow { by: self.delay() },
            LinkFaultKind::Lossy { .. } => LinkFaultKind::Lossy {
                permille: (self.float_in_range(&self.fault.loss, 0.0, 1.0)? * 1000.0) as u16,
            },
            kind @ (LinkFaultKind::Cut | LinkFaultKind::Reset) => kind,
        };
        let remote = match &self.fault.to {
            Some(to) => self.remote_end(to)?,
            None => link.remote,
        };
        let direction = self.fault.direction.as_ref();
        let (outbound, inbound) = match direction.map(|direction| direction.get_ref().as_str()) {
            None | Some("both") => (true, true),
            Some("there") => (true, false),
            Some("back") => (false, true),
            Some(_) => {
                let span = direction.map(Spanned::span).unwrap_or_default();
                return Err(self
                    .source
                    .error_at(span, "must be `both`, `there` or `back`"));
            }
        };
        Ok(LinkFault {
            kind,
            remote,
            outbound,
            inbound,
        })
    }

    fn remote_end(&self, to: &Spanned<String>) -> Result<LinkEnd, FileError> {
        let zones = self.scenario.zones();
        let zone = zones.iter().position(|zone| zone == to.get_ref());
        match (to.get_ref().as_str(), zone) {
            ("all", _) => Ok(LinkEnd::All),
            ("servers", _) => Ok(LinkEnd::Servers),
            ("list", _) => Ok(LinkEnd::Discovery),
            ("nodes", _) => Ok(LinkEnd::Nodes),
            ("clients", _) => Ok(LinkEnd::Clients),
            (_, Some(zone)) => Ok(LinkEnd::Zone(ZoneIndex(zone))),
            _ => {
                let problem = "must be a zone, `all`, `servers`, `list`, `nodes` or `clients`";
                Err(self.source.error_at(to.span(), problem))
            }
        }
    }

    fn target(&self, scope: FaultScope) -> Result<FaultTarget, FileError> {
        let single = match (scope, &self.fault.server, &self.fault.node) {
            (FaultScope::Server, Some(server), _) => {
                let servers = self.scenario.servers.iter();
                Some(self.position(server, servers.map(|known| known.name.get_ref().as_str()))?)
            }
            (FaultScope::Node, _, Some(node)) => {
                let nodes = self.scenario.nodes.iter();
                Some(self.position(node, nodes.map(|known| known.name.get_ref().as_str()))?)
            }
            (FaultScope::Discovery, ..) => Some(0),
            (FaultScope::Server | FaultScope::Node, ..) => None,
        };
        match single {
            Some(index) => Ok(FaultTarget::Single(TargetIndex(index))),
            None => self.group().map(FaultTarget::Group),
        }
    }

    fn group(&self) -> Result<TargetGroup, FileError> {
        let zone = match &self.fault.zone {
            Some(zone) => Some(ZoneIndex(
                self.position(zone, self.scenario.zones().into_iter())?,
            )),
            None => None,
        };
        let fraction = value_or(&self.fault.fraction, 1.0);
        if !(fraction > 0.0 && fraction <= 1.0) {
            let span = self.fault.fraction.as_ref().map(Spanned::span);
            return Err(self
                .source
                .error_at(span.unwrap_or_default(), "must be above 0 and at most 1"));
        }
        Ok(TargetGroup {
            zone,
            from: 0,
            to: (fraction * 1000.0).round().max(1.0) as u16,
        })
    }

    fn position<'a>(
        &self,
        name: &Spanned<String>,
        mut names: impl Iterator<Item = &'a str>,
    ) -> Result<usize, FileError> {
        let position = names.position(|known| known == name.get_ref());
        position.ok_or_else(|| {
            self.source
                .error_at(name.span(), "the scenario has nothing of this name")
        })
    }

    /// All occurrences of the fault: each wave of each repetition.
    fn schedule(
        &self,
        kind: FaultKind,
        target: FaultTarget,
    ) -> Result<Vec<PlannedFault>, FileError> {
        let fault = self.fault;
        check_range(
            self.source,
            &fault.at_ms,
            0..=MAX_DURATION_MS,
            "must be from 0 to 3600000",
        )?;
        let duration = fault
            .duration_ms
            .map(|duration| duration.min(MAX_DURATION_MS) * MILLISECOND);
        let waves = self.occurrences(&fault.waves)?;
        let repetitions = self.occurrences(&fault.repetitions)?;
        let interval = fault.interval_ms.unwrap_or(0).min(MAX_DURATION_MS) * MILLISECOND;
        let start = fault.at_ms.get_ref() * MILLISECOND;
        let occurrence = |number: u64| PlannedFault {
            at: start + interval.saturating_mul(number),
            duration,
            target: target.wave(number % waves, waves),
            kind,
            permille: (value_or(&fault.probability, 1.0) * 1000.0) as u16,
        };
        Ok((0..repetitions * waves).map(occurrence).collect())
    }

    fn occurrences(&self, key: &Option<Spanned<u64>>) -> Result<u64, FileError> {
        if let Some(count) = key {
            let problem = format!("must be from 1 to {MAX_OCCURRENCES}");
            check_range(self.source, count, 1..=MAX_OCCURRENCES, &problem)?;
        }
        Ok(value_or(key, 1))
    }

    /// The value of a key after a check of its range; 1 if the key is absent.
    fn float_in_range(
        &self,
        key: &Option<Spanned<f64>>,
        min: f64,
        max: f64,
    ) -> Result<f64, FileError> {
        if let Some(value) = key {
            check_range(
                self.source,
                value,
                min..=max,
                &format!("must be from {min} to {max}"),
            )?;
        }
        Ok(value_or(key, 1.0))
    }
}

fn key_use<T>(name: &'static str, value: &Option<Spanned<T>>, is_allowed: bool) -> KeyUse {
    KeyUse {
        name,
        span: value.as_ref().map(Spanned::span),
        is_allowed,
    }
}

fn value_or<T: Copy>(key: &Option<Spanned<T>>, default: T) -> T {
    key.as_ref().map_or(default, |value| *value.get_ref())
}
