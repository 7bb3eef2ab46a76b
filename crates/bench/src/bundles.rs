//! What a bundle costs by its number of workspaces.
//!
//! Sizes in bytes depend on the schema alone. Times and resident memory
//! depend on the machine and are printed, never judged.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use godwitpost_bundle::fold::{Fold, Next};
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::record::{Change, Record};
use godwitpost_bundle::root::Tree;
use godwitpost_bundle::schema::{Bundle, Operator};
use godwitpost_bundle::{check, entry, resolve, root, source};

use crate::figure::{Bound, Figure};

/// Today's size, a step between, and the size of two years from now.
pub const SIZES: [u32; 3] = [100, 1_000, 8_900];

/// The most bytes of a change of one workspace. 3,400 of them a day are then
/// 20 bytes a second, of the 6,000 that control may use.
const CHANGE_BYTES: f64 = 512.0;

/// Workspaces added by one version while the bundle is built up, so that
/// each change fits a record.
const STRIDE: u32 = 3_000;

/// Times that a measurement is repeated; the median is taken.
const REPEATS: usize = 21;

/// Returns the figures at each size.
#[must_use]
pub fn figures() -> Vec<Figure> {
    SIZES.into_iter().flat_map(at).collect()
}

/// Returns the bytes of the record that changes one workspace of `count`.
///
/// # Panics
///
/// Panics if a step is refused, which is a bug.
#[must_use]
pub fn change_bytes(count: u32) -> usize {
    let fold = fold_of(count);
    change(&fold, count, 7).len()
}

fn at(count: u32) -> Vec<Figure> {
    let mut fold = fold_of(count);
    let held = resident_of(&fold);
    let bytes = change(&fold, count, 7).len();
    let snapshot = fold.snapshot().expect("it is in force");
    let encoded = snapshot.encode().len();
    let yaml = yaml(count);
    let bundle = bundle_of(count, fold.version());
    let entries = entry::split(&bundle);
    let trusting = || Fold::new("kitakaze", [root_key().public()]);
    let adopt = median(|| {
        let snapshot = snapshot.clone();
        timed(|| trusting().apply_snapshot(snapshot).expect("it is right"))
    });
    let whole = median(|| {
        timed(|| {
            black_box(root::of(&entries));
            let bundle = entry::join(1, &entries).expect("it is right");
            black_box(check::bundle(&bundle));
            resolve::bundle(&bundle)
        })
    });
    let mut changes = changes(&fold, count).into_iter();
    let one = median(|| {
        let bytes = changes.next().expect("there is one for each repeat");
        let offset = fold.next_offset();
        timed(|| fold.apply(offset, Duration::from_secs(offset), &bytes))
    });
    let policy = fold.policy().expect("it is in force").clone();
    let free = |name: &str, value: f64, unit| {
        Figure::new(format!("bundles.{name}.{count}"), value, unit, Bound::Free)
    };
    let small = Bound::AtMost(CHANGE_BYTES);
    vec![
        Figure::new(
            format!("bundles.change.{count}"),
            whole_number(bytes),
            "bytes",
            small,
        ),
        free("snapshot", whole_number(encoded), "bytes"),
        free("resident", held, "bytes"),
        free("source", median(|| timed(|| source::read(&yaml))), "us"),
        free("check", median(|| timed(|| check::bundle(&bundle))), "us"),
        free(
            "resolve",
            median(|| timed(|| resolve::bundle(&bundle))),
            "us",
        ),
        free("policy_clone", median(|| timed(|| policy.clone())), "us"),
        free("adopt", adopt, "us"),
        free("apply_anew", whole, "us"),
        free("apply_one", one, "us"),
    ]
}

fn fold_of(count: u32) -> Fold {
    let mut fold = Fold::new("kitakaze", [root_key().public()]);
    let mut reached = 0;
    while reached < count {
        reached = count.min(reached + STRIDE);
        let bundle = bundle_of(reached, fold.version() + 1);
        let bytes = signed(&fold, &bundle);
        let offset = fold.next_offset();
        let next = fold.apply(offset, Duration::from_secs(offset), &bytes);
        assert_eq!(next, Next::InForce(bundle.version));
    }
    fold
}

// Signing is the operator's work, and taking the bundle apart for it would
// leave cold caches to the next measurement, so it is done before.
fn changes(fold: &Fold, count: u32) -> Vec<Vec<u8>> {
    let mut fold = fold.clone();
    (0..REPEATS)
        .zip(1..)
        .map(|(_, concurrency)| {
            let bytes = change(&fold, count, concurrency);
            let offset = fold.next_offset();
            fold.apply(offset, Duration::from_secs(offset), &bytes);
            bytes
        })
        .collect()
}

// The change of one workspace as an operator signs it.
fn change(fold: &Fold, count: u32, concurrency: u32) -> Vec<u8> {
    let version = fold.version() + 1;
    let entries = fold.tree().map(Tree::entries).expect("it is in force");
    let mut bundle = entry::join(version, entries).expect("it is right");
    let name = workspace_name(count / 2);
    let workspace = bundle.workspaces.get_mut(&name).expect("it is there");
    workspace.concurrency = 1 + concurrency;
    signed(fold, &bundle)
}

fn signed(fold: &Fold, bundle: &Bundle) -> Vec<u8> {
    let key = if fold.version() == 0 {
        root_key()
    } else {
        operator_key()
    };
    let change = Change::sign(fold.tree(), bundle, "asahikawa", &key);
    Record::Change(change).encode().expect("it fits a record")
}

fn root_key() -> PrivateKey {
    PrivateKey::from_seed(&[1; 32])
}

fn operator_key() -> PrivateKey {
    PrivateKey::from_seed(&[2; 32])
}

fn bundle_of(count: u32, version: u64) -> Bundle {
    let mut bundle = source::read(&yaml(count)).expect("the source is right");
    bundle.version = version;
    let key = operator_key().public();
    bundle.operators = BTreeMap::from([("asahikawa".to_owned(), Operator { key })]);
    bundle
}

fn workspace_name(index: u32) -> String {
    format!("workspace-{index:05}")
}

fn yaml(count: u32) -> String {
    let mut yaml = String::from(
        r#"
fleet: kitakaze
version: 1
operators:
  asahikawa: { key: "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=" }
classes:
  order: { priority: 0, deadline: 5s }
  draft: { priority: 2, deadline: 60s }
services:
  drafting: { kind: engine, load_bound: 1.5, reuse: 0.8, slots: 16 }
  ordering: { kind: plain, slots: 64 }
routes:
  - { path: /v1/chat/completions, service: drafting, class: draft }
  - { path: /orders, service: ordering, class: order, unrepeatable: true }
models:
"#,
    );
    for index in 0..35 {
        let name = format!("model-{index:02}");
        writeln!(yaml, "  {name}: {{ service: drafting, weights: \"7\" }}")
            .expect("a string takes all");
    }
    yaml.push_str("workspaces:\n");
    for index in 0..count {
        let name = workspace_name(index);
        writeln!(
            yaml,
            "  {name}: {{ weight: 2, rate: 50, concurrency: 40, services: [drafting, ordering] }}"
        )
        .expect("a string takes all");
    }
    yaml
}

fn timed<T>(run: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    black_box(run());
    start.elapsed()
}

fn median(mut run: impl FnMut() -> Duration) -> f64 {
    let mut times = (0..REPEATS).map(|_| run()).collect::<Vec<_>>();
    times.sort();
    times[REPEATS / 2].as_secs_f64() * 1e6
}

// Copies take what the fold alone needs, without what building it left
// behind in the allocator.
fn resident_of(fold: &Fold) -> f64 {
    const COPIES: usize = 10;
    let before = resident();
    let copies = vec![fold.clone(); COPIES];
    let held = resident().saturating_sub(before) / COPIES;
    drop(black_box(copies));
    whole_number(held)
}

// Resident bytes of this process; zero where the system does not tell.
fn resident() -> usize {
    const PAGE: usize = 4096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1);
    pages
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or(0)
        * PAGE
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes are far below what a f64 holds exactly"
)]
fn whole_number(value: usize) -> f64 {
    value as f64
}
