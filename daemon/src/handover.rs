//! The handover on its Unix socket in `$TMPDIR`, which the versions of a node share: a thin shell round the state machines
//! of `badgerpost-socket-handover`. Nothing here keeps a node from starting: what fails is logged, and the process listens beside
//! the other one.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::time::Duration;

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::{Clock, spawn};
use badgerpost_lifecycle::Event as LifeEvent;
use badgerpost_socket_handover::{Action, Event, MAX_LINE_LENGTH, Message, Predecessor, Successor};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg, sockopt,
};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

use crate::descriptor_quota::DescriptorQuota;

/// The whole exchange takes a few wake-ups of either process; past this the new one listens by itself. It has to serve
/// within 6 s.
const WITHIN: Duration = Duration::from_millis(500);
/// Wait before the next accept after one failed.
const ACCEPT_AGAIN: Duration = Duration::from_secs(1);

/// Where the versions of a node meet.
#[derive(Clone)]
pub struct Handover {
    path: PathBuf,
    listen: SocketAddr,
    shares: DescriptorQuota,
    clock: Clock,
}

/// A listening socket from the version before, and the connection that tells when that is gone.
pub struct Given {
    /// The socket.
    pub listener: TcpListener,
    link: Link,
    side: Successor,
}

impl Handover {
    /// The meeting place of those who listen at this address; none without a folder that they share.
    pub fn new(listen: SocketAddr, shares: DescriptorQuota, clock: Clock) -> Option<Self> {
        // A port that the system chooses is nobody else's.
        if listen.port() == 0 {
            return None;
        }
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        let name = format!("badgerpost-{}-{}.handover", listen.ip(), listen.port());
        Some(Self {
            path: PathBuf::from(folder).join(name),
            listen,
            shares,
            clock,
        })
    }

    /// Asks a version that runs for its listening socket.
    #[expect(clippy::cognitive_complexity, reason = "to be split with the module")]
    pub async fn take(&self) -> Option<Given> {
        let stream = match self
            .clock
            .timeout(WITHIN, UnixStream::connect(&self.path))
            .await
        {
            Ok(Ok(stream)) => stream,
            // Nobody is there: the usual start.
            Ok(Err(error)) if error.kind() == io::ErrorKind::NotFound => return None,
            Ok(Err(error)) => {
                tracing::info!(path = %self.path.display(), %error, "no version before this one to take over from");
                return None;
            }
            Err(_) => return None,
        };
        let (mut link, mut side) = (Link::new(stream), Successor::new(self.listen));
        let until = self.clock.sleep(WITHIN);
        let mut until = std::pin::pin!(until);
        let mut event = Event::Connected;
        loop {
            let mut actions = Vec::new();
            side.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::UseReceivedListener => {
                        let listener = link.listener()?;
                        tracing::info!(listen = %self.listen, "took over the listening socket");
                        return Some(Given {
                            listener,
                            link,
                            side,
                        });
                    }
                    Action::ListenSeparately => {
                        tracing::warn!(
                            "no listening socket was handed over; listening beside the other version"
                        );
                        return None;
                    }
                    other => self.carry_out(other, &mut link, None).await,
                }
            }
            event = tokio::select! {
                biased;
                heard = link.hear(self.listen) => heard,
                () = &mut until => Event::TimedOut,
            };
        }
    }

    /// Goes on after the start: tells the version before that this one serves, waits for its end, and hands `listener` on
    /// to the next one. Never ends.
    pub async fn run(self, listener: TcpListener, given: Option<Given>, life: LifecycleHandle) {
        let door = self.open();
        if let Some(Given {
            mut link, mut side, ..
        }) = given
        {
            let before = self.clone();
            spawn(async move {
                let mut event = Event::Listening;
                loop {
                    let over = event == Event::Closed;
                    let mut actions = Vec::new();
                    side.handle(event, &mut actions);
                    for action in actions {
                        before.carry_out(action, &mut link, None).await;
                    }
                    if over {
                        tracing::info!("the version before is gone");
                        return;
                    }
                    event = link.hear(before.listen).await;
                }
            });
        }
        let Some(mut door) = door else { return };
        loop {
            match door.accept().await {
                // One after the other: a second successor beside the first listens by itself.
                Ok((stream, _)) => {
                    let has_given = self.attend(Link::new(stream), &listener, &life).await;
                    // One that had opened its own door and died has left nobody behind it.
                    if has_given
                        && UnixStream::connect(&self.path).await.is_err()
                        && let Some(new) = self.open()
                    {
                        door = new;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting the next version failed");
                    self.clock.sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    fn open(&self) -> Option<UnixListener> {
        // What is there is of a version that is gone, or that knows of this one already.
        let _ = std::fs::remove_file(&self.path);
        match UnixListener::bind(&self.path) {
            Ok(door) => Some(door),
            Err(error) => {
                let path = self.path.display();
                tracing::warn!(%path, %error, "the next version can't take over the listening socket");
                None
            }
        }
    }

    /// Serves one successor until it is gone; whether it was given the socket.
    async fn attend(&self, mut link: Link, listener: &TcpListener, life: &LifecycleHandle) -> bool {
        let mut side = Predecessor::new(self.listen);
        let until = self.clock.sleep(WITHIN);
        let mut until = std::pin::pin!(until);
        let (mut late, mut given) = (false, false);
        loop {
            let event = tokio::select! {
                biased;
                event = link.hear(self.listen) => event,
                () = &mut until, if !late => {
                    late = true;
                    Event::TimedOut
                }
            };
            let mut actions = Vec::new();
            side.handle(event, &mut actions);
            for action in actions {
                if action == Action::Close {
                    return given;
                }
                given |= matches!(action, Action::SendListener(_));
                if let Action::SetShared(shared) = action {
                    tracing::info!(shared, "the next version takes connections here");
                    life.tell(LifeEvent::ListenerShared(shared));
                }
                self.carry_out(action, &mut link, Some(listener)).await;
            }
        }
    }

    async fn carry_out(&self, action: Action, link: &mut Link, listener: Option<&TcpListener>) {
        let said = match action {
            Action::Send(message) => link.say(&message, None).await,
            Action::SendListener(message) => link.say(&message, listener).await,
            Action::SetLimitsHalved(halved) => {
                self.shares.halve(halved);
                Ok(())
            }
            Action::UseReceivedListener
            | Action::ListenSeparately
            | Action::SetShared(_)
            | Action::Close => Ok(()),
        };
        // A connection that has broken is heard of by the next read.
        said.unwrap_or_else(|error| tracing::info!(%error, "the handover broke off"));
    }
}

/// A connection between two versions.
struct Link {
    stream: UnixStream,
    inbox: Vec<u8>,
    given: Option<OwnedFd>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            inbox: Vec::new(),
            given: None,
        }
    }

    /// The next thing that is heard.
    async fn hear(&mut self, listen: SocketAddr) -> Event {
        loop {
            if let Some(end) = self.inbox.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.inbox.drain(..=end).collect();
                return match Message::from_line(&line[..end]) {
                    Ok(message) => {
                        let has_listener = message == Message::Listener && self.is_listener(listen);
                        Event::Received {
                            message,
                            has_listener,
                        }
                    }
                    Err(error) => {
                        tracing::warn!(%error, "the other version can't be understood");
                        Event::InvalidMessage
                    }
                };
            }
            if self.inbox.len() > MAX_LINE_LENGTH {
                self.inbox.clear();
                return Event::InvalidMessage;
            }
            if !self.receive().await.is_ok_and(|read| read > 0) {
                return Event::Closed;
            }
        }
    }

    async fn receive(&mut self) -> io::Result<usize> {
        let Self {
            stream,
            inbox,
            given,
        } = self;
        let mut bytes = [0; MAX_LINE_LENGTH];
        let read = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut bytes)];
                let message = recvmsg(
                    stream.as_fd(),
                    &mut parts,
                    &mut control,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                for rights in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(fds) = rights {
                        // The last one counts; others are closed here.
                        *given = fds.last();
                    }
                }
                Ok(message.bytes)
            })
            .await?;
        inbox.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    async fn say(&self, message: &Message, listener: Option<&TcpListener>) -> io::Result<()> {
        let line = message.to_line();
        let sent = self
            .stream
            .async_io(Interest::WRITABLE, || {
                let fds = listener.map(AsFd::as_fd);
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if let Some(fd) = &fds {
                    control.push(SendAncillaryMessage::ScmRights(std::slice::from_ref(fd)));
                }
                let parts = [IoSlice::new(&line)];
                Ok(sendmsg(
                    self.stream.as_fd(),
                    &parts,
                    &mut control,
                    SendFlags::NOSIGNAL,
                )?)
            })
            .await?;
        // A line is far shorter than any socket's buffer.
        if sent == line.len() {
            Ok(())
        } else {
            Err(io::ErrorKind::WriteZero.into())
        }
    }

    /// Whether what came along is a socket that listens there.
    fn is_listener(&self, listen: SocketAddr) -> bool {
        let Some(fd) = &self.given else { return false };
        let at = rustix::net::getsockname(fd)
            .ok()
            .and_then(|at| SocketAddr::try_from(at).ok());
        sockopt::socket_acceptconn(fd).is_ok_and(|listens| listens) && at == Some(listen)
    }

    /// What came along; looked at as it came.
    fn listener(&mut self) -> Option<TcpListener> {
        self.given.take().map(TcpListener::from)
    }
}
