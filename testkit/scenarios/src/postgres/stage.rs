//! Sets the stage of a PostgreSQL scene and plays it: databases, the list, the node, clients, and what goes wrong.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use badgerpost_fakes::database::{Database, InjectedFault, Value};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::scripted::{Discovery, target};
use badgerpost_postgres_session::scram::Verifier;

use super::load::{Target, Work, sqlx_client, tokio_postgres_client};
use super::scene::{Drains, Kills, PgScene};
use super::truth::{self, Finding, Seen};
use crate::process::{self, Process, Start};
use crate::run::RunError;
use crate::scenario;

const USER: &str = "rehearsal";
const PASSWORD: &str = "rehearsal-password";
const DATABASE: &str = "ratings";
const NODE_PASSWORD: &str = "node-password";
/// The grace of a drain, and slack for the way of the news.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// A fault that waits for a statement that fits is taken back after this.
const FITS_WITHIN: Duration = Duration::from_millis(400);

/// Databases and a node before them.
pub struct PgStage {
    databases: Rc<Vec<Database>>,
    discovery: Discovery,
    node: Process,
    /// Where the node takes HTTP clients.
    pub http: SocketAddr,
    /// Where it takes PostgreSQL clients.
    pub listen: SocketAddr,
}

/// What was seen of a scene.
pub struct PgPlayed {
    /// Each transaction as its client saw it.
    pub seen: Vec<Seen>,
    /// What does not fit.
    pub findings: Vec<Finding>,
    /// Databases that died, or fell silent.
    pub kills: u64,
    /// Databases that drained, and transactions that came to one later than the grace.
    pub drains: (u64, u64),
    /// How long it took.
    pub wall: Duration,
    /// The node's process ended by itself.
    pub crashed: Option<String>,
}

fn names(databases: &[Database], draining: Option<usize>) -> serde_json::Value {
    let state = |n| {
        if draining == Some(n) {
            "Terminating"
        } else {
            "Ready"
        }
    };
    databases
        .iter()
        .enumerate()
        .map(|(n, database)| target(&format!("db{n}"), database.at, state(n)))
        .collect()
}

impl PgStage {
    /// Starts databases and a node; `port`: where it takes PostgreSQL clients, 0 for any.
    pub fn set(count: usize, program: &Path, port: u16) -> Result<Self, RunError> {
        let databases = (0..count)
            .map(|_| Database::start())
            .collect::<Result<Vec<_>, _>>()?;
        for database in &databases {
            database.set_user("node", NODE_PASSWORD);
        }
        let discovery = Discovery::new(names(&databases, None));
        let no_servers = Discovery::new(serde_json::json!([]));
        let calm = scenario::find("calm")?;
        let edge = process::edge(
            &calm,
            0,
            SocketAddr::from(([127, 0, 0, 1], 0)),
            no_servers.address,
            7,
            None,
        );
        let own = format!(
            r#"
            [postgres]
            listen = "127.0.0.1:{port}"
            zone = "a"
            users = "{{folder}}/users"
            clients = 2000
            discovery = "{}"
            console = ["{USER}"]
            [[postgres.login]]
            user = "node"
            password_file = "{{folder}}/password"
            [[postgres.class]]
            name = "ratings"
            aim_ms = 500
            deadline_ms = 3000
            "#,
            discovery.address
        );
        let verifier = Verifier::from_password(PASSWORD, b"a salt of the rehearsal").to_text();
        let files = vec![
            ("users", format!("{USER} {verifier}\n")),
            ("password", NODE_PASSWORD.to_owned()),
        ];
        let start = Start {
            program,
            name: "n0",
            edge,
            stepped: None,
            own,
            files,
            system_faults: None,
        };
        let (mut node, http) = Process::start(&start)?;
        let listen = node.listens_for("serving PostgreSQL clients")?;
        Ok(Self {
            databases: Rc::new(databases),
            discovery,
            node,
            http,
            listen,
        })
    }

    /// The databases.
    pub fn databases(&self) -> &[Database] {
        &self.databases
    }

    /// The node's process.
    pub fn node_id(&self) -> u32 {
        self.node.id()
    }

    /// Where clients connect, and as whom.
    pub fn target(&self) -> Target {
        Target {
            port: self.listen.port(),
            user: USER.to_owned(),
            password: PASSWORD.to_owned(),
            database: DATABASE.to_owned(),
        }
    }

    /// The same for a client that goes to a database directly.
    pub fn direct(&self, which: usize) -> Target {
        Target {
            port: self.databases[which].at.port(),
            user: "node".to_owned(),
            password: NODE_PASSWORD.to_owned(),
            database: DATABASE.to_owned(),
        }
    }

    /// Has the list say that a database drains, or that none does.
    pub fn set_draining(&mut self, which: Option<usize>) {
        self.discovery.set_endpoints(names(&self.databases, which));
    }

    /// Makes the table of work in each database.
    pub async fn prepare(&self) -> Result<(), RunError> {
        for database in self.databases.iter() {
            let mut config = tokio_postgres::Config::new();
            config
                .host("127.0.0.1")
                .port(database.at.port())
                .user("node")
                .password(NODE_PASSWORD)
                .dbname(DATABASE);
            let work = async {
                let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
                let connection = tokio::task::spawn_local(connection);
                client
                    .batch_execute("CREATE TABLE w (id bigint, n int)")
                    .await?;
                drop(client);
                let _ = connection.await;
                Ok::<_, tokio_postgres::Error>(())
            };
            work.await
                .map_err(|error| RunError::Stage(format!("the stand-in database: {error}")))?;
        }
        Ok(())
    }
}

/// Plays a scene to its end.
pub fn play(
    scene: &PgScene,
    seed: u64,
    program: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<PgPlayed, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, perform(scene, seed, program, progress))
}

#[expect(clippy::too_many_lines, reason = "to be split with the module")]
async fn perform(
    scene: &PgScene,
    seed: u64,
    program: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<PgPlayed, RunError> {
    let mut stage = PgStage::set(*scene.databases.get_ref(), program, 0)?;
    stage.prepare().await?;
    let work = Work::new(*scene.transactions.get_ref());
    let began = Instant::now();
    let clients: Vec<_> = (0..*scene.clients.get_ref())
        .map(|n| {
            let (target, work, seed) = (
                stage.target(),
                work.clone(),
                seed.wrapping_mul(1_000_003) + n as u64,
            );
            // A third of the clients is another driver.
            match n % 3 {
                2 => tokio::task::spawn_local(sqlx_client(target, work, seed)),
                _ => tokio::task::spawn_local(tokio_postgres_client(target, work, seed)),
            }
        })
        .collect();
    let (databases, more) = (stage.databases.clone(), work.clone());
    let kills = scene.kills;
    let killing = tokio::task::spawn_local(async move {
        match kills {
            Some(kills) => kill_over_and_over(&databases, kills, seed, &more).await,
            None => 0,
        }
    });
    let (databases, discovery, more, drains) = (
        stage.databases.clone(),
        stage.discovery.clone(),
        work.clone(),
        scene.drains,
    );
    let draining = tokio::task::spawn_local(async move {
        match drains {
            Some(drains) => drain_over_and_over(&databases, &discovery, drains, seed, &more).await,
            None => (0, 0),
        }
    });
    let mut seen = Vec::new();
    for client in clients {
        while !client.is_finished() {
            progress(work.done());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        seen.extend(
            client
                .await
                .map_err(|error| RunError::Stage(error.to_string()))?,
        );
    }
    killing.abort();
    draining.abort();
    let kills = killing
        .await
        .unwrap_or_else(|_| KILLED.with(std::cell::Cell::get));
    let drains = draining
        .await
        .unwrap_or_else(|_| DRAINED.with(std::cell::Cell::get));
    stage.databases.iter().for_each(|database| {
        database.pause(false);
        database.revive();
    });
    // What is still under way at a database ends by itself: the node is gone, and with it all its connections.
    let crashed = stage.node.exited().map(|status| {
        format!(
            "the node ended with {status}; its log:\n{}",
            stage.node.log()
        )
    });
    stage.node.kill();
    let quiet = Instant::now();
    while stage.databases.iter().any(|database| database.open() > 0)
        && quiet.elapsed() < Duration::from_secs(5)
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut rows: BTreeMap<i64, usize> = BTreeMap::new();
    for database in stage.databases.iter() {
        for row in database.rows("w") {
            if let Some(Value::Int(id)) = row.first() {
                *rows.entry(*id).or_default() += 1;
            }
        }
    }
    seen.sort_by_key(|one| one.id);
    let findings = truth::check(&seen, &rows);
    Ok(PgPlayed {
        seen,
        findings,
        kills,
        drains,
        wall: began.elapsed(),
        crashed,
    })
}

thread_local! {
    /// So far: the tasks that count are stopped in the midst of it.
    static KILLED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
    static DRAINED: std::cell::Cell<(u64, u64)> = const { std::cell::Cell::new((0, 0)) };
}

/// A span of this mean, at most four times as long.
fn span(random: &mut Random, mean_ms: u64) -> Duration {
    let mean = Duration::from_millis(mean_ms).as_secs_f64();
    Duration::from_secs_f64(random.exponential(mean).min(4.0 * mean))
}

/// One database at a time dies, in one of several ways; the others go on.
async fn kill_over_and_over(databases: &[Database], kills: Kills, seed: u64, work: &Work) -> u64 {
    let mut random = Random::new(seed, "kills");
    KILLED.set(0);
    loop {
        work.set_more(KILLED.get() < kills.least);
        let before: Vec<u64> = databases.iter().map(Database::statements).collect();
        tokio::time::sleep(span(&mut random, kills.every_ms)).await;
        // One that the node uses now: the death of one that it leaves alone would show nothing.
        let used: Vec<usize> = (0..databases.len())
            .filter(|n| databases[*n].statements() > before[*n])
            .collect();
        if used.is_empty() {
            continue;
        }
        let database = &databases[used[random.between(0, used.len() as u64 - 1) as usize]];
        match random.between(0, 7) {
            0 | 1 => database.kill(),
            2 => database.inject_fault("INSERT", InjectedFault::CrashBeforeExecution),
            3 => database.inject_fault("INSERT", InjectedFault::CrashAfterExecution),
            4 => database.inject_fault("COMMIT", InjectedFault::CrashBeforeExecution),
            5 => database.inject_fault("COMMIT", InjectedFault::CrashAfterExecution),
            // The second row of a COPY.
            6 => database.inject_fault("\t1\n", InjectedFault::CrashBeforeExecution),
            _ => {
                // Silent, and then dead with all that it was told.
                database.pause(true);
                tokio::time::sleep(Duration::from_millis(2 * kills.down_ms)).await;
                database.kill();
                database.pause(false);
            }
        }
        let began = Instant::now();
        while database.is_up() && began.elapsed() < FITS_WITHIN {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        if database.is_up() {
            // Nothing that fits came to it: it goes on.
            database.clear_fault();
            continue;
        }
        KILLED.set(KILLED.get() + 1);
        tokio::time::sleep(Duration::from_millis(kills.down_ms)).await;
        database.clear_fault();
        database.revive();
    }
}

/// One database at a time drains. Returns how many did, and how many transactions came too late.
async fn drain_over_and_over(
    databases: &[Database],
    discovery: &Discovery,
    drains: Drains,
    seed: u64,
    work: &Work,
) -> (u64, u64) {
    let mut random = Random::new(seed, "drains");
    DRAINED.set((0, 0));
    loop {
        work.set_more(DRAINED.get().0 < drains.least);
        tokio::time::sleep(span(&mut random, drains.every_ms)).await;
        let which = random.between(0, databases.len() as u64 - 1) as usize;
        discovery.set_endpoints(names(databases, Some(which)));
        tokio::time::sleep(GRACE).await;
        let begun = databases[which].begun();
        tokio::time::sleep(Duration::from_millis(drains.for_ms).saturating_sub(GRACE)).await;
        let late = databases[which].begun() - begun;
        discovery.set_endpoints(names(databases, None));
        let (count, all) = DRAINED.get();
        DRAINED.set((count + 1, all + late));
    }
}
