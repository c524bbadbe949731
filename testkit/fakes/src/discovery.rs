//! The platform's list of servers, with its versions and its bad days. It does no I/O; what a call gets is told
//! as a [`Reply`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use badgerpost_time::Nanos;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Terminating,
    /// Has left; stands among changes only.
    Gone,
}

/// One line of the list, as discovery words it.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The server's name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: String,
    /// Its machine kind.
    pub model: String,
    /// Its cell.
    pub pod_group: u64,
    /// What it may take.
    pub state: State,
    /// Its size.
    pub capacity_hint: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// How discovery does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Well.
    #[default]
    Good,
    /// It takes calls and says nothing.
    Silent,
    /// It tells of no change any more.
    Stale,
    /// Its lists are empty.
    Empty,
    /// What it says is no list.
    Malformed,
    /// It answers 503.
    Failing,
}

/// What a call gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// An answer with this body.
    Answer(String),
    /// An answer later, once something has changed or the hold is over.
    Hold,
    /// No answer.
    Silence,
    /// An answer 503.
    Fail,
}

#[derive(Serialize)]
struct List<'a> {
    rev: u64,
    all: bool,
    targets: Vec<&'a Entry>,
}

#[derive(Clone, Debug, Default)]
struct Lines {
    rev: u64,
    /// Each line, and the version in which it last changed.
    lines: BTreeMap<String, (u64, Entry)>,
}

/// The list.
#[derive(Debug, Default)]
pub struct Discovery {
    now: Lines,
    /// As it was when it became stale.
    then: Option<Lines>,
    mode: Mode,
}

impl Discovery {
    /// Changes how it does.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        self.then = (mode == Mode::Stale).then(|| self.now.clone());
    }

    /// Puts a line on the list, or changes it.
    pub fn set(&mut self, entry: Entry) {
        self.now.rev += 1;
        self.now
            .lines
            .insert(entry.uid.clone(), (self.now.rev, entry));
    }

    /// Changes one server's state.
    pub fn set_state(&mut self, uid: &str, state: State) {
        if let Some((_, entry)) = self.now.lines.get(uid) {
            self.set(Entry {
                state,
                ..entry.clone()
            });
        }
    }

    fn shown(&self) -> &Lines {
        self.then.as_ref().unwrap_or(&self.now)
    }

    /// The lines of servers that have not left.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.shown()
            .lines
            .values()
            .map(|(_, entry)| entry)
            .filter(|entry| entry.state != State::Gone)
    }

    /// A call: for the whole list, or for what has changed since a version. `hold` is what is left of the time
    /// for which it may wait.
    pub fn ask(&self, from: Option<u64>, hold: Nanos) -> Reply {
        match self.mode {
            Mode::Silent => return Reply::Silence,
            Mode::Failing => return Reply::Fail,
            Mode::Malformed => return Reply::Answer("{\"rev\":1,\"all\":tr".to_owned()),
            // A version that nobody has, so that the next call does not wait either; but not at once.
            Mode::Empty if from == Some(u64::MAX >> 1) && hold > 0 => return Reply::Hold,
            Mode::Empty => return answer(u64::MAX >> 1, true, Vec::new()),
            Mode::Good | Mode::Stale => {}
        }
        let shown = self.shown();
        match from.filter(|from| *from <= shown.rev) {
            Some(from) if from == shown.rev && hold > 0 => Reply::Hold,
            Some(from) => {
                let changed = shown.lines.values().filter(|(rev, _)| *rev > from);
                answer(shown.rev, false, changed.map(|(_, entry)| entry).collect())
            }
            None => answer(shown.rev, true, self.entries().collect()),
        }
    }
}

fn answer(rev: u64, all: bool, targets: Vec<&Entry>) -> Reply {
    // Plain figures and strings can always be written.
    Reply::Answer(serde_json::to_string(&List { rev, all, targets }).unwrap_or_default())
}

/// Reads the target of a call: the version it comes from, and how long it may wait.
pub fn read_target(target: &str) -> Option<(Option<u64>, Nanos)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .find_map(|(_, value)| value.parse::<u64>().ok())
    };
    (path == "/registry/instances").then(|| {
        (
            value("from"),
            value("hold_ms").unwrap_or(0).min(60_000) * 1_000_000,
        )
    })
}

#[cfg(test)]
mod tests;
