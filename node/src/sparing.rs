//! Sparing warnings: what goes wrong a thousand times a second must not fill the log, nor cost the time of it.

use std::time::{Duration, Instant};

/// One line of a kind in this span.
const SPAN: Duration = Duration::from_secs(5);

/// Lets one line through in a span, and counts the rest.
#[derive(Default)]
pub struct Sparing {
    said: Option<Instant>,
    more: u64,
}

impl Sparing {
    /// Calls `say` with the number of lines that were held back, unless one went out a short while ago.
    pub fn say(&mut self, say: impl FnOnce(u64)) {
        if self.said.is_some_and(|at| at.elapsed() < SPAN) {
            self.more += 1;
            return;
        }
        self.said = Some(Instant::now());
        say(std::mem::take(&mut self.more));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the log against a warning that comes with every request.
    #[test]
    fn a_burst_of_warnings_is_one_line() {
        let (mut sparing, mut lines) = (Sparing::default(), Vec::new());
        (0..1000).for_each(|_| sparing.say(|more| lines.push(more)));
        assert_eq!((lines.as_slice(), sparing.more), ([0].as_slice(), 999));
        sparing.said = Instant::now().checked_sub(SPAN);
        sparing.say(|more| lines.push(more));
        assert_eq!(lines, [0, 999]);
    }
}
