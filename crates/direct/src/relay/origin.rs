//! Finds where a stream began that its caller takes up, and tells other instances of streams
//! that begin here.
//!
//! No stream goes on at a guess. Its origin is known here, or another instance was told of it,
//! or all endpoints that can have begun it are of one build. Otherwise the caller is refused.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, ServiceId};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::Job;
use crate::builds::{Census, MAX_LIST_AGE};
use crate::hop::{ORIGIN_PATH, ORIGINS_PATH, OriginAnswer, OriginQuestion};
use crate::origins::{Origin, Record};
use crate::refusal::Reason;
use crate::shared::Shared;

/// How long streams that begin wait for others, so that one message tells of all. Those of an
/// instance that is killed meanwhile can't be taken up.
const TELL_DELAY: Duration = Duration::from_millis(10);

/// How long another instance may take to answer. One in another region answers within 50 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The largest message: all streams that an instance remembers.
pub(super) const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// How the origin of a stream came to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
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
    let Some(after) = job.last_event_id().filter(|_| job.is_resumable()) else {
        return Ok(());
    };
    let found = find(job).await;
    let source = found.map_or("unknown", |(_, evidence)| evidence.as_str());
    let origin = found.map(|(origin, _)| origin);
    job.shared.metrics.streams().count_taken_up(source);
    let first_attempt = job.first_attempt();
    log::info!(
        request:% = job.id(), first_attempt:% = first_attempt.as_deref().unwrap_or("(none)"),
        after = after, build:% = BuildName(job, origin), known_by:% = source,
        took_ms:% = job.age().as_millis();
        "stream taken up by its caller"
    );
    job.bind(origin.ok_or(Reason::UnknownOrigin)?);
    Ok(())
}

async fn find(job: &Job) -> Option<(Origin, Evidence)> {
    let shared = &job.shared;
    let recorded = || shared.origins().get(job.stream());
    if let Some((origin, _)) = recorded().filter(|_| job.names_stream()) {
        return Some((origin, Evidence::Recorded));
    }
    let services = job.target_services();
    let sole = |build| Origin {
        service: job.service(),
        build,
    };
    let own = take_census(shared, &services);
    if let (Census::Sole(build), true) = (own, is_list_fresh(shared)) {
        return Some((sole(build), Evidence::SoleBuild));
    }
    let question = OriginQuestion {
        stream: job.names_stream().then(|| job.stream()),
        services,
    };
    let replicas = shared.members().replicas(job.stream(), boot_time());
    let question = Arc::new(question);
    let mut asked = JoinSet::new();
    for instance in replicas {
        asked.spawn(ask(Arc::clone(shared), instance, Arc::clone(&question)));
    }
    let mut answers = Vec::new();
    while let Some(answer) = asked.join_next().await {
        let Ok(Some(answer)) = answer else { continue };
        if let Some(origin) = answer.origin {
            return Some((origin, Evidence::Told));
        }
        answers.push(answer);
    }
    sole_build(own, &answers).map(|build| (sole(build), Evidence::SoleBuildElsewhere))
}

/// Returns the build that alone can have begun a stream, by what others say: by one whose list
/// is fresh, or by all if none can read the list. An instance that begins streams at another
/// build has read the list since.
pub(super) fn sole_build(own: Census, answers: &[OriginAnswer]) -> Option<BuildId> {
    if own == Census::Several {
        return None;
    }
    let is_fresh = |one: &&OriginAnswer| one.list_age.is_some_and(|age| age <= MAX_LIST_AGE);
    let fresh = answers.iter().filter(is_fresh);
    let counted: Vec<&OriginAnswer> = if fresh.clone().next().is_some() {
        fresh.collect()
    } else {
        answers.iter().collect()
    };
    let sole = counted.iter().find_map(|one| one.sole)?;
    let agrees = |one: &&OriginAnswer| one.sole == Some(sole) || !one.knows_several;
    let own_agrees = own == Census::Sole(sole) || !matches!(own, Census::Sole(_));
    (own_agrees && counted.iter().all(agrees)).then_some(sole)
}

fn take_census(shared: &Shared, services: &[ServiceId]) -> Census {
    let services = services.iter().copied();
    shared
        .builds()
        .census(services, boot_time(), SystemTime::now())
}

fn list_age(shared: &Shared) -> Option<Duration> {
    let confirmed_at = shared.endpoints_confirmed_at()?;
    Some(since(boot_time(), confirmed_at))
}

fn is_list_fresh(shared: &Shared) -> bool {
    // An instance that shares its streams with nobody knows what all instances do.
    let is_alone = shared.settings.listen.forwards.is_none();
    is_alone || list_age(shared).is_some_and(|age| age <= MAX_LIST_AGE)
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

/// Answers where a stream began, and whether one build serves alone.
pub(super) fn answer_question(shared: &Shared, body: &[u8]) -> Option<Vec<u8>> {
    let question: OriginQuestion = decode(body)?;
    let recorded = question
        .stream
        .and_then(|stream| shared.origins().get(stream));
    let census = take_census(shared, &question.services);
    let answer = OriginAnswer {
        origin: recorded.map(|(origin, _)| origin),
        sole: match census {
            Census::Sole(build) => Some(build),
            _ => None,
        },
        knows_several: census == Census::Several,
        list_age: list_age(shared),
    };
    encode(&answer)
}

/// Records the streams that another instance tells of.
pub(super) fn record_told(shared: &Shared, body: &[u8]) -> Option<()> {
    let records: Vec<Record> = decode(body)?;
    let now = boot_time();
    let retention = shared.builds().retention();
    let mut origins = shared.origins();
    origins.forget_old(retention, now);
    for record in &records {
        origins.record_told(record, now);
    }
    Some(())
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
        let records = take_records(&shared, now);
        let mut by_instance: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for record in &records {
            for instance in shared.members().replicas(record.stream, now) {
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

fn take_records(shared: &Shared, now: Moment) -> Vec<Record> {
    let builds = shared.builds();
    let mut origins = shared.origins();
    origins.forget_old(builds.retention(), now);
    let time_of_day = SystemTime::now();
    let is_needed = |service| {
        let census = builds.census(std::iter::once(service), now, time_of_day);
        !matches!(census, Census::Sole(_))
    };
    origins.take_untold(is_needed, now)
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
enum SendError {
    /// it can't be encoded
    Encode,
    /// no answer: {0}
    NoAnswer(godwitpost_client::connect::Error),
    /// it answered with status {0}
    Status(StatusCode),
    /// the answer broke off
    Truncated,
}

async fn send<T: Serialize>(
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
