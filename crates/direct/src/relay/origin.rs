//! Finds where a stream began that its caller takes up, and tells other instances of streams
//! that begin here, some of which keep them in the log.
//!
//! No stream goes on at a guess. Its origin is known here, or another instance was told of it,
//! or all endpoints that can have begun it are of one build. Otherwise the caller is refused.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, ServiceId, StreamId};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::Job;
use super::choose::WAIT_DIVISOR;
use super::keep::{KEEP_PATH, keep, keep_here};
use crate::builds::{self, Census, MAX_LIST_AGE, Statement};
use crate::kept::KeepRequest;
use crate::members;
use crate::origins::{Origin, Record};
use crate::refusal::Reason;
use crate::shared::Shared;

/// The path of messages that tell of streams, a list of [`Record`]s.
const ORIGINS_PATH: &str = "/peer/v1/origins";

/// The path of an [`OriginQuestion`], which is answered by an [`OriginAnswer`].
const ORIGIN_PATH: &str = "/peer/v1/origin";

/// How long streams that begin wait for others, so that one message tells of all. Those of an
/// instance that is killed meanwhile can't be taken up.
const TELL_DELAY: Duration = Duration::from_millis(10);

/// How long another instance may take to answer. One in another region answers within 50 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The largest message: all streams that an instance remembers.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// A question where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OriginQuestion {
    /// The stream, if the caller names it.
    stream: Option<StreamId>,
    /// The services that can have begun it.
    services: Vec<ServiceId>,
}

/// What an instance knows of where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OriginAnswer {
    /// Where it began, if the instance was told.
    origin: Option<Origin>,
    /// Which builds can have begun it.
    statement: Statement,
}

/// How the origin of a stream came to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// It was recorded here.
    Recorded,
    /// Another instance was told of it.
    Told,
    /// All endpoints that can have begun it are of one build.
    SoleBuild,
    /// The same, as other instances know.
    SoleBuildElsewhere,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Told => "told",
            Self::SoleBuild => "sole-build",
            Self::SoleBuildElsewhere => "sole-build-elsewhere",
        }
    }
}

/// Binds a request that takes a stream up to the build of the endpoint that began it.
///
/// # Errors
///
/// Returns the reason to refuse it if that is unknown.
pub(super) async fn bind_taken_up(job: &mut Job) -> Result<(), Reason> {
    let after = job.last_event_id();
    let is_taken_up = after.is_some() || job.names_stream();
    if !is_taken_up || !job.is_resumable() {
        return Ok(());
    }
    let found = find(job).await;
    let source = found.map_or("unknown", |(_, evidence)| evidence.as_str());
    let origin = found.ok().map(|(origin, _)| origin);
    job.shared.metrics.streams().count_taken_up(source);
    let first_attempt = job.first_attempt();
    let (builds, known_for) = {
        let known = job.shared.builds();
        let known_for = known.known_for(boot_time());
        let longest = known.retention();
        (
            known.count(job.service()),
            known_for.map(|time| time.min(longest)),
        )
    };
    log::info!(
        request:% = job.id(), first_attempt:% = first_attempt.as_deref().unwrap_or("(none)"),
        after:? = after, build:% = BuildName(job, origin), known_by:% = source, builds = builds,
        builds_known_for_ms:? = known_for.map(|time| time.as_millis()), took_ms:% = job.age().as_millis();
        "stream taken up by its caller"
    );
    let (origin, _) = found.map_err(|unknown| unknown.reason(job))?;
    job.bind(origin);
    Ok(())
}

/// Where a stream began isn't known.
#[derive(Clone, Copy, Debug)]
struct Unknown {
    /// How long it takes until some instance knows, if one will.
    complete_in: Option<Duration>,
}

impl Unknown {
    // Returns the reason to refuse the request. Its caller is to come back while it has time left.
    fn reason(self, job: &Job) -> Reason {
        let longest = job.remaining() / WAIT_DIVISOR;
        Reason::UnknownOrigin {
            left: self.complete_in.map(|time| time.min(longest)),
        }
    }
}

async fn find(job: &Job) -> Result<(Origin, Evidence), Unknown> {
    let shared = &job.shared;
    let recorded = || shared.origins().get(job.stream());
    if let Some((origin, _)) = recorded().filter(|_| job.names_stream()) {
        return Ok((origin, Evidence::Recorded));
    }
    let services = job.target_services();
    let sole = |build| Origin {
        service: job.service(),
        build,
    };
    let own = own_statement(shared, &services);
    // An instance that shares its streams with nobody knows what all instances do.
    let is_alone = shared.settings.listen.peers.is_none();
    match own.census {
        Census::Sole(build) if is_alone || own.is_fresh() => {
            return Ok((sole(build), Evidence::SoleBuild));
        }
        Census::Gapped(build) if is_alone => return Ok((sole(build), Evidence::SoleBuild)),
        _ => {}
    }
    let question = OriginQuestion {
        stream: job.names_stream().then(|| job.stream()),
        services,
    };
    let mut replicas = replicas(shared, job.stream());
    if matches!(own.census, Census::Unsure(_)) || has_just_started(shared) {
        add_seeds(shared, &mut replicas);
    }
    let asked_count = replicas.len();
    let question = Arc::new(question);
    let asked_at = boot_time();
    let mut asked = JoinSet::new();
    for instance in replicas {
        asked.spawn(ask(Arc::clone(shared), instance, Arc::clone(&question)));
    }
    let mut statements = Vec::new();
    while let Some(answer) = asked.join_next().await {
        let Ok(Some(answer)) = answer else { continue };
        if let Some(origin) = answer.origin {
            return Ok((origin, Evidence::Told));
        }
        if let (Census::Sole(build), true) = (answer.statement.census, answer.statement.is_fresh())
        {
            adopt(shared, &question.services, build, asked_at);
        }
        statements.push(answer.statement);
    }
    let unknown = Unknown {
        complete_in: builds::earliest_knowledge(&own, &statements),
    };
    builds::agree(own.census, &statements, asked_count)
        .map(|build| (sole(build), Evidence::SoleBuildElsewhere))
        .ok_or(unknown)
}

// Records what another instance that was asked at `asked_at` has known for longer, unless more is
// known here.
fn adopt(shared: &Shared, services: &[ServiceId], build: BuildId, asked_at: Moment) {
    // Of several services, the answer doesn't tell which has the build.
    if let [service] = services {
        shared.builds().adopt(*service, build, asked_at);
    }
}

// Returns the instances to tell or ask. One that has just started may know only the seeds.
fn replicas(shared: &Shared, stream: StreamId) -> Vec<SocketAddr> {
    let mut replicas = shared.members().replicas(stream, boot_time());
    let seeds = shared.settings.other_seeds();
    let unnamed = seeds.into_iter().filter(|seed| !replicas.contains(seed));
    let unnamed: Vec<SocketAddr> = unnamed.collect();
    let missing = members::REPLICAS.saturating_sub(replicas.len());
    replicas.extend(unnamed.into_iter().take(missing));
    replicas
}

// Returns whether streams may be taken up here that began before this instance started.
fn has_just_started(shared: &Shared) -> bool {
    shared.uptime() < shared.builds().retention()
}

// Adds the seeds, which read from the log what served and where streams began before they started.
fn add_seeds(shared: &Shared, replicas: &mut Vec<SocketAddr>) {
    for seed in shared.settings.other_seeds() {
        if !replicas.contains(&seed) {
            replicas.push(seed);
        }
    }
}

// Returns what this instance knows of the builds at which streams may have begun.
fn own_statement(shared: &Shared, services: &[ServiceId]) -> Statement {
    let census = take_census(shared, services);
    let time_to_know = || shared.builds().time_to_know(boot_time());
    Statement {
        census,
        list_age: list_age(shared),
        complete_in: matches!(census, Census::Unsure(_))
            .then(time_to_know)
            .flatten(),
    }
}

fn take_census(shared: &Shared, services: &[ServiceId]) -> Census {
    let services = services.iter().copied();
    shared.builds().census(services, boot_time())
}

/// Returns the services of which one build alone can have begun streams, with it, if the list
/// of endpoints is fresh.
pub(crate) fn sole_builds(shared: &Shared) -> Vec<(ServiceId, BuildId)> {
    if list_age(shared).is_none_or(|age| age > MAX_LIST_AGE) {
        return Vec::new();
    }
    shared.builds().sole(boot_time())
}

/// Records what another instance has known for longer, and said at `as_of` or later.
pub(crate) fn adopt_sole_builds(shared: &Shared, known: &[(ServiceId, BuildId)], as_of: Moment) {
    for (service, build) in known {
        shared.builds().adopt(*service, *build, as_of);
    }
}

fn list_age(shared: &Shared) -> Option<Duration> {
    let confirmed_at = shared.endpoints_confirmed_at()?;
    Some(since(boot_time(), confirmed_at))
}

async fn ask(
    shared: Arc<Shared>,
    instance: SocketAddr,
    question: Arc<OriginQuestion>,
) -> Option<OriginAnswer> {
    match send(&shared, instance, ORIGIN_PATH, &*question).await {
        Ok(bytes) => rmp_serde::from_slice(&bytes)
            .inspect_err(|error| log::warn!(instance:% = instance, error:% = error; "answer about a stream can't be decoded"))
            .ok(),
        Err(error) => {
            log::info!(instance:% = instance, error:% = error; "instance did not answer where a stream began");
            None
        }
    }
}

/// What came of a message of another instance.
pub(crate) enum Handled {
    /// The bytes of its answer.
    Answered(Vec<u8>),
    /// It can't be read.
    Malformed,
    /// The path is none of messages about streams.
    NotFound,
}

/// Handles a message about streams.
pub(crate) fn handle_message(shared: &Shared, path: &str, body: &[u8]) -> Handled {
    let answer = match path {
        ORIGIN_PATH => answer_question(shared, body),
        ORIGINS_PATH => decode(body).map(|records: Vec<Record>| {
            record_told(shared, &records);
            Vec::new()
        }),
        KEEP_PATH => decode(body).map(|request: KeepRequest| {
            record_told(shared, &request.streams);
            keep_here(shared, &request);
            Vec::new()
        }),
        _ => return Handled::NotFound,
    };
    answer.map_or(Handled::Malformed, Handled::Answered)
}

fn answer_question(shared: &Shared, body: &[u8]) -> Option<Vec<u8>> {
    let question: OriginQuestion = decode(body)?;
    let recorded = question
        .stream
        .and_then(|stream| shared.origins().get(stream));
    let answer = OriginAnswer {
        origin: recorded.map(|(origin, _)| origin),
        statement: own_statement(shared, &question.services),
    };
    encode(&answer)
}

// Records the streams that another instance tells of.
fn record_told(shared: &Shared, records: &[Record]) {
    let now = boot_time();
    let retention = shared.builds().retention();
    let mut origins = shared.origins();
    origins.forget_old(retention, now);
    for record in records {
        origins.record_told(record, now);
    }
}

/// Tells other instances of the streams that began here at services where more than one build
/// can have begun them. Returns at once.
pub(crate) fn tell_origins(shared: &Arc<Shared>) {
    if !shared.origins().begin_telling() {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(TELL_DELAY).await;
        let now = boot_time();
        let (records, unkept) = take_records(&shared, now);
        tokio::spawn(keep(Arc::clone(&shared), unkept));
        let mut by_instance: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for record in &records {
            for instance in replicas(&shared, record.stream) {
                by_instance.entry(instance).or_default().push(*record);
            }
        }
        let mut tellings = JoinSet::new();
        for (instance, records) in by_instance {
            tellings.spawn(tell(Arc::clone(&shared), instance, records));
        }
        if !tellings.join_all().await.contains(&true) {
            let mut origins = shared.origins();
            for record in &records {
                origins.put_back(record.stream);
            }
        }
    });
}

// Returns the streams that others are to be told of, and those that a seed is to keep.
fn take_records(shared: &Shared, now: Moment) -> (Vec<Record>, Vec<Record>) {
    let builds = shared.builds();
    let mut origins = shared.origins();
    origins.forget_old(builds.retention(), now);
    let is_needed = |service| {
        let census = builds.census(std::iter::once(service), now);
        !matches!(census, Census::Sole(_))
    };
    let untold = origins.take_untold(is_needed, now);
    (untold, origins.take_unkept(is_needed, now))
}

/// Records where a stream of this instance began, and tells others of it if more than one build
/// can have begun it.
pub(super) fn record_own(job: &Job, origin: Origin) {
    let shared = &job.shared;
    shared
        .origins()
        .record_own(job.stream(), origin, boot_time());
    if !matches!(take_census(shared, &[origin.service]), Census::Sole(_)) {
        tell_origins(shared);
    }
}

async fn tell(shared: Arc<Shared>, instance: SocketAddr, records: Vec<Record>) -> bool {
    let told = send(&shared, instance, ORIGINS_PATH, &records).await;
    shared
        .metrics
        .streams()
        .count_told(records.len(), told.is_ok());
    if let Err(error) = &told {
        log::info!(
            instance:% = instance, streams = records.len(), error:% = error;
            "instance could not be told of streams"
        );
    }
    told.is_ok()
}

/// Why a message got no answer.
#[derive(Debug, displaydoc::Display)]
pub(super) enum SendError {
    /// it can't be encoded
    Encode,
    /// no answer: {0}
    NoAnswer(godwitpost_client::connect::Error),
    /// it answered with status {0}
    Status(StatusCode),
    /// the answer broke off
    Truncated,
}

pub(super) async fn send<T: Serialize>(
    shared: &Shared,
    instance: SocketAddr,
    path: &'static str,
    message: &T,
) -> Result<Bytes, SendError> {
    let body = encode(message).ok_or(SendError::Encode)?;
    let body: Body = Full::new(body.into()).map_err(Into::into).boxed_unsync();
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    let sending = shared
        .forward_connector
        .send(instance, request, ANSWER_TIMEOUT);
    let response = sending.await.map_err(SendError::NoAnswer)?;
    if response.status() != StatusCode::OK {
        return Err(SendError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect();
    let bytes = body.await.map_err(|_broken| SendError::Truncated)?;
    Ok(bytes.to_bytes())
}

fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    rmp_serde::to_vec(message)
        .inspect_err(|error| log::error!(error:% = error; "message about streams can't be encoded"))
        .ok()
}

fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body)
        .inspect_err(|error| log::warn!(error:% = error; "message about streams can't be decoded"))
        .ok()
}

// Writes the build of an origin by its text, if an endpoint of it is known.
struct BuildName<'a>(&'a Job, Option<Origin>);

impl fmt::Display for BuildName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(origin) = self.1 else {
            return f.write_str("(unknown)");
        };
        let view = self.0.shared.view();
        let known = view.holders(origin.service);
        let mut of_build = known.filter(|one| one.build_id() == origin.build);
        match of_build.next() {
            Some(one) => f.write_str(&one.build),
            None => write!(f, "(gone: {:x})", origin.build),
        }
    }
}
