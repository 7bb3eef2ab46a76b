//! The bundle in force, and its change to the next version.

use godwitpost_types::id;
use godwitpost_types::policy::Policy;

use super::refusal::Refusal;
use crate::blob::{Digest, Signature};
use crate::check;
use crate::delta::Delta;
use crate::entry::{self, FLEET, WORKSPACE};
use crate::lineage::{self, Link, Operators, Signers};
use crate::mistake::Mistakes;
use crate::record::Change;
use crate::resolve;
use crate::root::Tree;
use crate::schema::{Bundle, Workspace};
use crate::snapshot::{Anchor, Snapshot};
use crate::statement::Statement;

/// A bundle in force.
#[derive(Clone, Debug)]
pub(super) struct ActiveBundle {
    pub statement: Statement,
    pub signature: Signature,
    pub tree: Tree,
    pub policy: Policy,
    pub operators: Operators,
    pub lineage: Vec<Link>,
    pub anchor: Anchor,
}

impl ActiveBundle {
    /// Returns the first version, which must be signed by a root key.
    pub fn from_first_change(change: Change, anchor: Anchor) -> Result<Self, Refusal> {
        let tree = Tree::new(change.delta.puts);
        let (bundle, operators) = join_and_check(&change.statement, &tree)?;
        let link = Link {
            statement: change.statement.clone(),
            signature: change.signature,
            operators: operators.clone(),
        };
        Ok(Self {
            statement: change.statement,
            signature: change.signature,
            tree,
            policy: resolve::bundle(&bundle),
            operators,
            lineage: vec![link],
            anchor,
        })
    }

    /// Returns the bundle of a snapshot after verifying its lineage against
    /// `signers`, who may sign the version after `version`.
    pub fn from_snapshot(
        snapshot: Snapshot,
        signers: Signers<'_>,
        version: u64,
    ) -> Result<Self, Refusal> {
        let Snapshot {
            statement,
            signature,
            lineage,
            ..
        } = snapshot;
        if !lineage::verify_chain(signers, version, &lineage, &statement, &signature) {
            return Err(Refusal::Signature(statement.operator));
        }
        let tree = Tree::new(snapshot.entries);
        let (bundle, operators) = join_and_check(&statement, &tree)?;
        Ok(Self {
            statement,
            signature,
            tree,
            policy: resolve::bundle(&bundle),
            operators,
            lineage,
            anchor: snapshot.anchor,
        })
    }

    /// Applies the next version; on an error the state is unchanged.
    ///
    /// The caller must have checked version, parent and signature.
    pub fn apply_change(&mut self, change: Change) -> Result<(), Refusal> {
        let workspaces_only = only_workspaces(&change.delta);
        let undo = self.tree.apply(change.delta.clone());
        let result = if workspaces_only {
            self.apply_workspaces(&change)
        } else {
            self.apply_full(&change)
        };
        if result.is_err() {
            self.tree.apply(undo);
            return result;
        }
        self.policy.version = change.statement.version;
        self.statement = change.statement;
        self.signature = change.signature;
        Ok(())
    }

    // Most changes affect one workspace among thousands. Checking and
    // resolving only the changed ones makes the cost proportional to the
    // size of the change.
    fn apply_workspaces(&mut self, change: &Change) -> Result<(), Refusal> {
        let statement = &change.statement;
        check_digests(statement, self.tree.root(), &self.operators)?;
        let mut found = Vec::new();
        let mut resolved = Vec::new();
        for (name, blob) in &change.delta.puts {
            let bare = name.strip_prefix(WORKSPACE).unwrap_or(name);
            let workspace = entry::decode::<Workspace>(name, blob).map_err(Refusal::Entry)?;
            let known = |service: &str| self.policy.services.contains_key(&id::from_name(service));
            check::name(&format!("workspaces.{bare}"), bare, &mut found);
            check::workspace(bare, &workspace, known, &mut found);
            let other = self.policy.workspaces.get(&id::from_name(bare));
            if other.is_some_and(|other| other.name != bare) {
                return self.apply_full(change);
            }
            resolved.push(resolve::workspace(bare, &workspace));
        }
        if !found.is_empty() {
            return Err(Refusal::Content(Mistakes(found)));
        }
        for name in &change.delta.removes {
            let bare = name.strip_prefix(WORKSPACE).unwrap_or(name);
            self.policy.workspaces.remove(&id::from_name(bare));
        }
        for workspace in resolved {
            let id = id::from_name(&workspace.name);
            self.policy.workspaces.insert(id, workspace);
        }
        Ok(())
    }

    fn apply_full(&mut self, change: &Change) -> Result<(), Refusal> {
        let (bundle, operators) = join_and_check(&change.statement, &self.tree)?;
        self.policy = resolve::bundle(&bundle);
        if operators != self.operators {
            self.lineage.push(Link {
                statement: change.statement.clone(),
                signature: change.signature,
                operators: operators.clone(),
            });
            self.operators = operators;
        }
        Ok(())
    }
}

fn only_workspaces(delta: &Delta) -> bool {
    delta.names().all(|name| name.starts_with(WORKSPACE))
}

fn join_and_check(statement: &Statement, tree: &Tree) -> Result<(Bundle, Operators), Refusal> {
    let bundle = entry::join(statement.version, tree.entries()).map_err(Refusal::Entry)?;
    let operators = Operators::of(&bundle);
    check_digests(statement, tree.root(), &operators)?;
    let mut mistakes = check::bundle(&bundle);
    if bundle.fleet.name != statement.fleet {
        mistakes.push(crate::mistake::Mistake::new(
            FLEET,
            format!(
                "is {:?}, not the signed {:?}",
                bundle.fleet.name, statement.fleet
            ),
            "sign the bundle again",
        ));
    }
    if mistakes.is_empty() {
        Ok((bundle, operators))
    } else {
        Err(Refusal::Content(Mistakes(mistakes)))
    }
}

fn check_digests(
    statement: &Statement,
    root: Digest,
    operators: &Operators,
) -> Result<(), Refusal> {
    let matches = statement.root == root && statement.operators == operators.digest();
    if matches { Ok(()) } else { Err(Refusal::Root) }
}
