//! The four rules, checked over an outcome log. No I/O, and no knowledge of who was rehearsed.

use std::fmt;

use crate::outcome::{Attempt, ClientResult, DedupScope, Idempotency, Request};
use badgerpost_time::Nanos;

/// One of the four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer to every request taken, in time; nothing after it.
    OneAnswer,
    /// No effect twice; a refusal promises that trying again is harmless.
    NoEffectTwice,
    /// Nothing new to a server that drains or is gone, past the grace.
    DrainsKept,
    /// A cold server is not pushed over.
    ColdSpared,
}

/// All of them.
pub const RULES: [Rule; 4] = [
    Rule::OneAnswer,
    Rule::NoEffectTwice,
    Rule::DrainsKept,
    Rule::ColdSpared,
];

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneAnswer => "1 one final answer",
            Self::NoEffectTwice => "2 no effect twice",
            Self::DrainsKept => "3 drains kept",
            Self::ColdSpared => "4 cold servers spared",
        })
    }
}

/// The figures that the rules go by.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// How long after a client's time is up an answer still counts as in time: the way back and the sockets.
    pub answer_slack: Nanos,
    /// How long after a node was told of a drain a new request may still come to the server.
    pub drain_grace: Nanos,
    /// How long after its client has left an attempt of a request may still begin.
    pub leave_slack: Nanos,
    /// By how much the deadline that a server is told may be beyond what the client has left.
    pub deadline_slack: Nanos,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// The line of the log, from 1.
    pub line: usize,
    /// The request.
    pub id: String,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, request {}: {}", self.line, self.id, self.what)
    }
}

/// All breaches in a log, in its order.
pub fn check(log: &[Request], figures: &Figures) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (index, request) in log.iter().enumerate() {
        let mut found = |rule, what: Option<String>| {
            breaches.extend(what.map(|what| Breach {
                rule,
                line: index + 1,
                id: request.id.clone(),
                what,
            }));
        };
        found(Rule::OneAnswer, one_answer(request, figures));
        found(Rule::NoEffectTwice, no_effect_twice(request));
        found(Rule::DrainsKept, drains_kept(request, figures));
        found(Rule::ColdSpared, cold_spared(request));
    }
    breaches
}

/// What a request did not keep of the first rule.
fn one_answer(request: &Request, figures: &Figures) -> Option<String> {
    if request.surplus_bytes > 0 {
        return Some(format!(
            "{} bytes came behind its final answer",
            request.surplus_bytes
        ));
    }
    // A node that was paused can't know how long.
    if !request.is_excused {
        let sent = told_too_long(request, figures).or_else(|| sent_for_nobody(request, figures));
        if sent.is_some() {
            return sent;
        }
    }
    let due = request.arrival + request.timeout + figures.answer_slack;
    match &request.response {
        None if request.is_excused || request.client_left_at.is_some() => None,
        None => Some("it had no final answer".to_owned()),
        Some(answer) if answer.result == ClientResult::Served && !answer.is_from_own_attempt => {
            Some("it was served with what no server made for it".to_owned())
        }
        Some(answer) if answer.at > due && !request.is_excused => Some(format!(
            "its answer came {} ms after its client had gone",
            ms(answer.at - due)
        )),
        Some(answer) => {
            let later = request
                .attempts
                .iter()
                .find(|attempt| attempt.start > answer.at);
            later.map(|attempt| format!("it came to {} after its final answer", attempt.server))
        }
    }
}

/// A server was told of more time than the client had left.
fn told_too_long(request: &Request, figures: &Figures) -> Option<String> {
    request.attempts.iter().find_map(|attempt| {
        let over = attempt
            .deadline_excess
            .filter(|over| *over > figures.deadline_slack)?;
        Some(format!(
            "{} was told of {} ms more than its client had left",
            attempt.server,
            ms(over)
        ))
    })
}

/// An attempt began when its client had left.
fn sent_for_nobody(request: &Request, figures: &Figures) -> Option<String> {
    let left = request.client_left_at?;
    let late = request
        .attempts
        .iter()
        .find(|attempt| attempt.start > left + figures.leave_slack)?;
    Some(format!(
        "it came to {} {} ms after its client had left",
        late.server,
        ms(late.start - left)
    ))
}

/// What a request did not keep of the second rule.
fn no_effect_twice(request: &Request) -> Option<String> {
    let ran = |attempt: &&Attempt| attempt.may_have_executed();
    for (number, attempt) in request.attempts.iter().enumerate() {
        let Some(first) = request.attempts[..number].iter().find(ran) else {
            continue;
        };
        let allowed = match (request.idempotency, request.dedup) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::Keyed, Some((scope, window))) => {
                in_group(scope, first, attempt)
                    && attempt.start.saturating_sub(first.start) < window
            }
            (Idempotency::Keyed, None) | (Idempotency::NonIdempotent, _) => false,
        };
        if !allowed {
            return Some(format!(
                "it came to {} and may have run at {} before",
                attempt.server, first.server
            ));
        }
    }
    let refused = request.result() == Some(ClientResult::Rejected);
    // Wherever the client's next try goes, its repeat is dropped there.
    let harmless = match (request.idempotency, request.dedup) {
        (Idempotency::Idempotent, _) | (Idempotency::Keyed, Some((DedupScope::All, _))) => true,
        (Idempotency::Keyed | Idempotency::NonIdempotent, _) => false,
    };
    let first = request
        .attempts
        .iter()
        .find(ran)
        .filter(|_| refused && !harmless)?;
    Some(format!(
        "it was refused and may have run at {}",
        first.server
    ))
}

fn in_group(scope: DedupScope, first: &Attempt, next: &Attempt) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => first.zone == next.zone,
        DedupScope::Cell => first.cell == next.cell,
    }
}

fn drains_kept(request: &Request, figures: &Figures) -> Option<String> {
    request.attempts.iter().find_map(|attempt| {
        let late = attempt
            .drain_known_for
            .filter(|told| *told > figures.drain_grace)?;
        Some(format!(
            "it came to {} {} ms after its node was told that this drains",
            attempt.server,
            ms(late)
        ))
    })
}

fn cold_spared(request: &Request) -> Option<String> {
    let felled = request
        .attempts
        .iter()
        .find(|attempt| attempt.caused_overload)?;
    Some(format!("it pushed {} over, which was cold", felled.server))
}

/// A client that stopped half way, or said nothing, was left without an error or a close. It is no request of the log.
pub fn client_left_alone(node: &str, took: Nanos) -> Breach {
    Breach {
        rule: Rule::OneAnswer,
        line: 0,
        id: format!("a silent client of {node}"),
        what: format!("it had neither an error nor its end after {} ms", ms(took)),
    }
}

/// Of the complete answers with no length, under half were forwarded.
pub fn answers_without_length_dropped(forwarded: usize, complete: usize) -> Breach {
    Breach {
        rule: Rule::OneAnswer,
        line: 0,
        id: "answers without a length".to_owned(),
        what: format!("{forwarded} of {complete} complete ones were forwarded"),
    }
}

fn ms(span: Nanos) -> Nanos {
    span / badgerpost_time::MILLISECOND
}

#[cfg(test)]
mod tests;
