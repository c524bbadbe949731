//! Searches seeds and fault schedules for a broken rule or a lost expectation, and cuts the first find down to
//! the fewest faults and requests that still show it.

use crate::fleet;
use crate::plan::Plan;
use crate::rules::Rule;
use crate::run::{self, Options, Played, RunError};

/// Runs that shrinking may take: it is a search, and must end.
const MOST_RUNS: usize = 300;

/// What was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Find {
    /// A broken rule.
    Broken(Rule),
    /// A request at a server that no client had sent in this form.
    Stranger,
    /// Something that the scene expects of the fleet.
    Lost,
    /// A node crashed.
    Crashed,
}

/// Plays a plan and says what it shows, the worst of it. A run that has no verdict for another reason than a
/// crash is an error.
pub fn look(plan: &Plan, options: &Options) -> Result<(Option<Find>, Option<Played>), RunError> {
    let played = match run::play(plan, options, &mut |_| {}) {
        Ok(played) => played,
        Err(RunError::Crashed { .. }) => return Ok((Some(Find::Crashed), None)),
        Err(error) => return Err(error),
    };
    let broken = played
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .min()
        .map(Find::Broken);
    let stranger = (played.strangers > 0).then_some(Find::Stranger);
    let lost = (!fleet::lost(plan, &played).is_empty()).then_some(Find::Lost);
    Ok((broken.or(stranger).or(lost), Some(played)))
}

/// Cuts a plan down as long as it still shows `find`: first its faults, one by one, then its requests, by halves,
/// quarters and so on (delta debugging, Zeller and Hildebrandt, 2002). `say` hears of each run.
pub fn shrink(
    plan: &Plan,
    find: &Find,
    options: &Options,
    say: &mut dyn FnMut(usize, &Plan),
) -> Result<Plan, RunError> {
    let mut best = plan.clone();
    let mut runs = 0;
    let mut shows =
        |candidate: &Plan, say: &mut dyn FnMut(usize, &Plan)| -> Result<bool, RunError> {
            if runs >= MOST_RUNS {
                return Ok(false);
            }
            runs += 1;
            say(runs, candidate);
            Ok(look(candidate, options)?.0.as_ref() == Some(find))
        };
    loop {
        let before = (best.faults.len(), best.arrivals.len());
        for at in (0..best.faults.len()).rev() {
            let mut candidate = best.clone();
            candidate.faults.remove(at);
            if shows(&candidate, say)? {
                best = candidate;
            }
        }
        // A share of fewer requests is another share: there only the faults say something.
        let mut part = if *find == Find::Lost {
            0
        } else {
            best.arrivals.len().div_ceil(2)
        };
        while part > 0 {
            let mut at = 0;
            while at < best.arrivals.len() {
                let mut candidate = best.clone();
                candidate
                    .arrivals
                    .drain(at..(at + part).min(best.arrivals.len()));
                if !candidate.arrivals.is_empty() && shows(&candidate, say)? {
                    best = candidate;
                } else {
                    at += part;
                }
            }
            part /= 2;
        }
        // Fewer requests may make another fault needless, and the other way round.
        if before == (best.faults.len(), best.arrivals.len()) {
            return Ok(best);
        }
    }
}
