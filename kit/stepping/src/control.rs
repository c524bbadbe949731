//! The node's end of a control connection. It is read with the thread blocked, on purpose: while the kit has
//! not said how the time goes on, nothing may run.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{Stepped, progress};
use tokio::task::yield_now;

use crate::protocol::{Bad, FromNode, LONGEST, ToNode};

/// Turns of the scheduler in which no task ran, each with a look at the sockets, that make a node idle. One
/// would do; the others are for what a look has brought while the turn was counted.
const QUIET_TURNS: u32 = 3;
/// What was announced and is not here yet is looked for so often, after so long a rest each: bytes, and ends of
/// connections, that the kit has sent already and that take microseconds, but longer on a machine with other work. Some
/// would never come, as nobody reads them: those behind a request that is still open. Looks are counted, not time: a
/// process that did not run for a while has not looked.
const LOOKS: u32 = 10_000;
const REST: Duration = Duration::from_micros(300);

/// Why a node can't be stepped on.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// It is not one of this machine's own.
    #[error("rehearsal.control: {0} is not a loopback address; a clock is given into no other hands")]
    Address(SocketAddr),
    /// The connection failed or broke.
    #[error("the rehearsal at {at}: {source}")]
    Socket {
        /// The kit's address.
        at: SocketAddr,
        /// What happened.
        source: io::Error,
    },
    /// The kit has closed it: the rehearsal is over.
    #[error("the rehearsal at {0} is over")]
    Over(SocketAddr),
    /// The kit said something else.
    #[error("the rehearsal at {at}: {source}")]
    Bad {
        /// The kit's address.
        at: SocketAddr,
        /// What it said.
        source: Bad,
    },
}

/// A control connection.
pub struct Control {
    at: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Control {
    /// Connects to the kit.
    pub fn connect(at: SocketAddr) -> Result<Self, ControlError> {
        if !at.ip().is_loopback() {
            return Err(ControlError::Address(at));
        }
        let connect = || {
            let stream = TcpStream::connect(at)?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let stream = connect().map_err(|source| ControlError::Socket { at, source })?;
        Ok(Self { at, reader: BufReader::new(stream) })
    }

    fn say(&mut self, line: &FromNode) -> Result<(), ControlError> {
        let written = self.reader.get_mut().write_all(line.to_string().as_bytes());
        written.map_err(|source| ControlError::Socket { at: self.at, source })
    }

    fn hear(&mut self) -> Result<ToNode, ControlError> {
        let mut line = String::new();
        let read = (&mut self.reader).take(LONGEST as u64).read_line(&mut line);
        match read {
            Ok(0) => Err(ControlError::Over(self.at)),
            Ok(_) => line.parse().map_err(|source| ControlError::Bad { at: self.at, source }),
            Err(source) => Err(ControlError::Socket { at: self.at, source }),
        }
    }

    /// Follows the kit's steps until the rehearsal is over.
    pub async fn follow(mut self, name: &str, listen: SocketAddr, steps: Rc<Stepped>) -> ControlError {
        match self.steps(name, listen, &steps).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn steps(
        &mut self,
        name: &str,
        listen: SocketAddr,
        steps: &Stepped,
    ) -> Result<std::convert::Infallible, ControlError> {
        settle(0, 0).await;
        self.say(&FromNode::Hello { name: name.to_owned(), listen })?;
        // What was done before the first step counts with it.
        let mut before = progress::Progress::default();
        // Ends that the kit has seen and that were waited for in vain: of connections that were never looked at here.
        let mut unseen = 0;
        loop {
            let ToNode::Step { now, bytes, ended } = self.hear()?;
            let read = progress::so_far().read;
            steps.advance(now);
            settle(read.saturating_add(bytes), ended.saturating_sub(unseen)).await;
            let after = progress::so_far();
            unseen = unseen.max(ended.saturating_sub(after.ended));
            let (read, written) = (after.read - before.read, after.written - before.written);
            before = after;
            let ended = after.ended + unseen;
            self.say(&FromNode::Idle { next: steps.next_due(), read, written, ended })?;
        }
    }
}

/// Runs until no task is ready, no socket has news, no connection is being made, and this thread has read so many bytes
/// and seen so many connections end since it began, if it ever does. To be called on the thread's runtime, from a task
/// that [`progress`] does not count.
pub async fn settle(read: u64, ended: u64) {
    let mut looks = 0;
    loop {
        let mut quiet = 0;
        while quiet < QUIET_TURNS {
            let before = progress::so_far().polls;
            yield_now().await;
            quiet = if progress::so_far().polls == before { quiet + 1 } else { 0 };
        }
        let so_far = progress::so_far();
        if looks >= LOOKS || (so_far.read >= read && so_far.ended >= ended && so_far.connecting == 0) {
            return;
        }
        looks += 1;
        std::thread::sleep(REST);
    }
}

#[cfg(test)]
mod tests {
    use std::net::TcpListener;
    use std::thread::JoinHandle;

    use badgerpost_engine::{Clock, spawn};
    use tokio::task::LocalSet;

    use super::*;

    /// The kit's side, by hand.
    fn line(reader: &mut BufReader<TcpStream>) -> FromNode {
        let mut text = String::new();
        reader.read_line(&mut text).expect("a line");
        text.parse().expect("a node's line")
    }

    /// A node on a thread of its own, with a stepped clock at 100, whose one task this is; and the kit's end of its
    /// control connection, behind its first line.
    fn node<F: Future<Output = ()> + 'static>(
        task: impl FnOnce(Clock) -> F + Send + 'static,
    ) -> (JoinHandle<String>, BufReader<TcpStream>) {
        let kit = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = kit.local_addr().unwrap();
        let node = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let steps = Stepped::at(100);
            let clock = Clock::stepped(steps.clone());
            LocalSet::new().block_on(&runtime, async move {
                spawn(task(clock));
                Control::connect(at).unwrap().follow("n0", at, steps).await.to_string()
            })
        });
        let (stream, _) = kit.accept().unwrap();
        let mut reader = BufReader::new(stream);
        assert_eq!(line(&mut reader), FromNode::Hello { name: "n0".to_owned(), listen: at });
        (node, reader)
    }

    fn step(reader: &mut BufReader<TcpStream>, now: u64, ended: u64) -> FromNode {
        let text = ToNode::Step { now, bytes: 0, ended }.to_string();
        reader.get_mut().write_all(text.as_bytes()).unwrap();
        line(reader)
    }

    /// A node whose one task waits twice. Time passes by steps only, a step runs everything that is ready, and
    /// the end of the connection is the end of the rehearsal.
    #[test]
    fn a_node_runs_by_steps_and_ends_with_them() {
        let (node, mut reader) = node(|tasks| async move {
            tasks.sleep_until(200).await;
            // Started by what has just run, it belongs to the same step.
            let inner = tasks.clone();
            let inner = spawn(async move { inner.sleep_until(300).await });
            progress::written(7);
            let _ = inner.await;
            progress::written(5);
        });
        let idle = |next, written| FromNode::Idle { next, read: 0, written, ended: 0 };
        assert_eq!(step(&mut reader, 150, 0), idle(Some(200), 0));
        assert_eq!(step(&mut reader, 250, 0), idle(Some(300), 7));
        assert_eq!(step(&mut reader, 250, 0), idle(Some(300), 0));
        assert_eq!(step(&mut reader, 300, 0), idle(None, 5));
        drop(reader);
        assert!(node.join().unwrap().ends_with("is over"));
    }

    /// The system may be late with a connection, or with the end of one: a step lasts until it has come, and what never
    /// comes is waited for once.
    #[test]
    fn a_step_lasts_until_what_is_under_way_has_come() {
        let (node, mut reader) = node(|clock| async move {
            clock.sleep_until(200).await;
            let late = || tokio::time::sleep(Duration::from_millis(5));
            progress::connecting(late()).await;
            progress::written(3);
            let mut connection = progress::Connection::default();
            clock.sleep_until(300).await;
            late().await;
            connection.over();
        });
        let idle = |next, written, ended| FromNode::Idle { next, read: 0, written, ended };
        assert_eq!(step(&mut reader, 200, 0), idle(Some(300), 3, 0));
        assert_eq!(step(&mut reader, 300, 1), idle(None, 0, 1));
        // One that the node never looked at: waited for in vain, and then taken as seen.
        assert_eq!(step(&mut reader, 400, 2), idle(None, 0, 2));
        let began = std::time::Instant::now();
        assert_eq!(step(&mut reader, 500, 2), idle(None, 0, 2));
        assert!(began.elapsed() < REST * LOOKS / 2, "waited again");
        drop(reader);
        node.join().unwrap();
    }

    #[test]
    fn a_clock_is_given_into_no_other_hands() {
        let far = SocketAddr::from(([192, 0, 2, 1], 9));
        assert!(matches!(Control::connect(far), Err(ControlError::Address(at)) if at == far));
    }
}
