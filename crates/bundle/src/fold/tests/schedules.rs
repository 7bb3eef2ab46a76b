use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{Stream, bundle, new_fold, root, time, to_usize};
use crate::fold::Fold;
use crate::record;

/// Readers besides the one that reads every record.
const READERS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator signs a change to the version in force and appends it.
    Roll { kushiro: bool, concurrency: u32 },
    /// Both operators do so at the same time.
    Race,
    /// An old record is appended again.
    Repeat(usize),
    /// A reader appends a checkpoint of its bundle, however old.
    Checkpoint(usize),
    /// A reader reads some records.
    Read(usize, usize),
    /// A reader applies the snapshot or update of another one.
    SyncFromPeer(usize, usize, bool),
    /// The log drops its oldest records.
    Truncate(usize),
    /// A reader restarts with no state.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let reader = 0..READERS;
    prop_oneof![
        3 => (any::<bool>(), 1..100_u32)
            .prop_map(|(kushiro, concurrency)| Step::Roll { kushiro, concurrency }),
        2 => Just(Step::Race),
        1 => any::<usize>().prop_map(Step::Repeat),
        2 => reader.clone().prop_map(Step::Checkpoint),
        6 => (reader.clone(), 1..5_usize).prop_map(|(reader, max_records)| Step::Read(reader, max_records)),
        3 => (reader.clone(), reader.clone(), any::<bool>())
            .prop_map(|(one, other, full)| Step::SyncFromPeer(one, other, full)),
        1 => (1..4_usize).prop_map(Step::Truncate),
        1 => reader.prop_map(Step::Restart),
    ]
}

struct Simulation {
    stream: Stream,
    // The fold of all records before each offset.
    states: Vec<Fold>,
    first: usize,
    readers: Vec<Fold>,
}

impl Simulation {
    fn run(&mut self, step: Step) {
        match step {
            Step::Roll {
                kushiro,
                concurrency,
            } => self.roll(kushiro, concurrency),
            Step::Race => self.race(),
            Step::Repeat(at) => self.repeat(at),
            Step::Checkpoint(reader) => {
                if self.readers[reader].version() > 0 {
                    let writer = self.readers[reader].clone();
                    for part in record::checkpoint(&writer.snapshot().expect("it is in force")) {
                        self.stream.append(&part);
                        self.states.push(self.stream.fold().clone());
                    }
                }
            }
            Step::Read(reader, max_records) => self.read(reader, max_records),
            Step::SyncFromPeer(one, other, full) => self.sync_from_peer(one, other, full),
            Step::Truncate(count) => {
                self.first = self.stream.records.len().min(self.first + count);
            }
            Step::Restart(reader) => self.readers[reader] = new_fold(),
        }
    }

    fn roll(&mut self, kushiro: bool, concurrency: u32) {
        let operator = if kushiro { "kushiro" } else { "asahikawa" };
        let version = self.stream.fold().version() + 1;
        let change = self.stream.sign(&bundle(version, concurrency), operator);
        self.stream.append(&change);
        self.states.push(self.stream.fold().clone());
    }

    fn race(&mut self) {
        let version = self.stream.fold().version() + 1;
        let one = self.stream.sign(&bundle(version, 1_001), "kushiro");
        let other = self.stream.sign(&bundle(version, 1_002), "asahikawa");
        for change in [one, other] {
            self.stream.append(&change);
            self.states.push(self.stream.fold().clone());
        }
    }

    fn repeat(&mut self, at: usize) {
        if self.stream.records.is_empty() {
            return;
        }
        let at = at % self.stream.records.len();
        let record = record::Record::decode(&self.stream.records[at]).expect("it was appended");
        self.stream.append(&record);
        self.states.push(self.stream.fold().clone());
    }

    fn read(&mut self, reader: usize, max_records: usize) {
        let reader = &mut self.readers[reader];
        let from = to_usize(reader.next_offset()).max(self.first);
        let records = self.stream.records.iter().enumerate().skip(from);
        for (offset, bytes) in records.take(max_records) {
            let offset = offset as u64;
            reader.apply(offset, time(offset), bytes);
        }
    }

    fn sync_from_peer(&mut self, one: usize, other: usize, full: bool) {
        let peer = self.readers[other].clone();
        let reader = &mut self.readers[one];
        match (peer.update(reader.version()), peer.snapshot()) {
            (Some(update), _) if !full => drop(reader.apply_update(&update)),
            (_, Some(snapshot)) => drop(reader.apply_snapshot(snapshot)),
            (_, None) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // For any order of steps: no reader reverts to an older version, and a reader
    // without a gap has the same bundle as a reader of every record at that
    // offset.
    #[test]
    fn readers_never_revert_and_agree_with_a_reader_of_every_record(
        steps in vec(step(), 1..60)
    ) {
        let mut simulation = Simulation {
            stream: Stream::new(),
            states: vec![new_fold()],
            first: 0,
            readers: vec![new_fold(); READERS],
        };
        for step in steps {
            let before: Vec<_> = simulation.readers.iter().map(Fold::version).collect();
            simulation.run(step);
            for (index, reader) in simulation.readers.iter().enumerate() {
                let restarted = matches!(step, Step::Restart(which) if which == index);
                prop_assert!(restarted || reader.version() >= before[index]);
                let version = reader.version();
                let known = simulation.states.iter().find(|state| state.version() == version);
                prop_assert_eq!(known.map(root), Some(root(reader)));
                if !reader.has_gap() {
                    let there = &simulation.states[to_usize(reader.next_offset())];
                    prop_assert_eq!(there.version(), version);
                    prop_assert_eq!(there.policy(), reader.policy());
                }
            }
        }
    }
}
