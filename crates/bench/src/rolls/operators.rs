//! Two operators who roll on what they believe to be in force.

use godwitpost_bundle::fold::Fold;
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::record::{Change, Record};
use godwitpost_bundle::root::Tree;
use godwitpost_bundle::schema::{Bundle, Operator};
use godwitpost_bundle::source;
use rand::{Rng, RngExt};

/// The fleet of the schedules.
const FLEET: &str = "kitakaze";

const SOURCE: &str = r#"
fleet: kitakaze
version: 1
operators:
  asahikawa: { key: "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=" }
classes:
  order: { priority: 0, deadline: 5s }
services:
  ordering: { kind: plain, slots: 64 }
workspaces:
  otaru: { rate: 50, concurrency: 40, services: [ordering] }
routes:
  - { path: /orders, service: ordering, class: order, unrepeatable: true }
"#;

/// How many of the latest states an operator may still believe in.
const STALE: usize = 3;

/// The operators and the bundle that they vary.
#[derive(Debug)]
pub(super) struct Operators {
    bundle: Bundle,
}

fn key(name: &str) -> PrivateKey {
    PrivateKey::from_seed(&[name.as_bytes()[0]; 32])
}

/// Returns a fold with nothing in force that trusts the root key.
pub(super) fn new_fold() -> Fold {
    Fold::new(FLEET, [key("root").public()])
}

impl Operators {
    /// Returns the operators.
    ///
    /// # Panics
    ///
    /// Panics if the constant source is ill-formed, which is a bug.
    pub fn new() -> Self {
        let mut bundle = source::read(SOURCE).expect("the constant source is right");
        bundle.operators.clear();
        for name in ["asahikawa", "kushiro"] {
            let key = key(name).public();
            bundle.operators.insert(name.to_owned(), Operator { key });
        }
        Self { bundle }
    }

    /// Returns an encoded change on one of the latest states, the older the
    /// likelier to lose.
    ///
    /// # Panics
    ///
    /// Panics if the change is too large, which is a bug.
    pub fn roll(&mut self, history: &[Fold], rng: &mut impl Rng) -> Vec<u8> {
        let back = rng.random_range(1..=STALE).min(history.len());
        let fold = &history[history.len() - back];
        let operator = if rng.random() { "asahikawa" } else { "kushiro" };
        let mut bundle = self.bundle.clone();
        bundle.version = fold.version() + 1;
        let otaru = bundle.workspaces.get_mut("otaru");
        otaru.expect("the source names it").concurrency = rng.random_range(1..1_000);
        if rng.random_bool(0.1) {
            bundle.operators.remove("kushiro");
        }
        let signer = match fold.tree().map(Tree::root) {
            None => key("root"),
            Some(_) => key(operator),
        };
        let change = Change::sign(fold.tree(), &bundle, operator, &signer);
        Record::Change(change).encode().expect("it is small")
    }
}
