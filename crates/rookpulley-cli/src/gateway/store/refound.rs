//! Recovers from the permanent loss of most members of the newest view: one remaining store refounds the chain.

use super::check::{ExaminedStore, examine, render};
use super::{hex, members, view};
use crate::call::CommandError;
use crate::show::table;
use rookpulley_chain::{Record, View};
use rookpulley_store::{replace, replaced_store};
use serde_json::{Value, json};
use std::hash::{BuildHasher, RandomState};
use std::path::Path;

/// A planned replacement of a store.
struct Refounding<'a> {
    store: &'a ExaminedStore,
    old_identity: u64,
    new_identity: u64,
    view: View,
    records: Vec<Record>,
}

/// Plans the replacement. `None` if the store has no usable state.
fn refounding(store: &ExaminedStore) -> Option<Refounding<'_>> {
    let old_identity = store.contents.identity.filter(|_| store.usable)?;
    let new_identity = RandomState::new().hash_one(old_identity);
    let (view, records) = store.persisted.refounded(old_identity, new_identity)?;
    Some(Refounding {
        store,
        old_identity,
        new_identity,
        view,
        records,
    })
}

pub fn refound(json: bool, folder: &Path, yes: bool) -> Result<(String, bool), CommandError> {
    let examined = examine(folder)?;
    let Some(refounding) = examined.as_ref().ok().and_then(refounding) else {
        let refused =
            "it holds no state from which the chain could be refounded; nothing was written";
        let (output, _) = render(json, folder, &examined, Some(refused));
        return Ok((output, false));
    };
    if yes {
        replace(
            folder,
            &refounding.store.contents,
            refounding.new_identity,
            &refounding.records,
        )
        .map_err(CommandError::Store)?;
    }
    let output = if json {
        refounding.as_json(folder, yes).to_string() + "\n"
    } else {
        refounding.text(folder, yes)
    };
    Ok((output, true))
}

impl Refounding<'_> {
    fn as_json(&self, folder: &Path, done: bool) -> Value {
        let chain = self.store.persisted.status();
        // Each dry run draws a new random identity and view number, so they are omitted until the store is written.
        let if_done = |value: Value| if done { value } else { Value::Null };
        json!({
            "folder": folder,
            "done": done,
            "identity": {"was": hex(self.old_identity), "is": if_done(hex(self.new_identity).into())},
            "view": {"was": chain.views.last().map(view), "is": if_done(view(&self.view))},
            "installed": chain.installed,
            "update": self.store.update(),
            "log": {"entries": chain.log.len(), "first": chain.log.first().map(|e| e.seq)},
            "before": if_done(json!(replaced_store(folder))),
        })
    }

    fn text(&self, folder: &Path, done: bool) -> String {
        let chain = self.store.persisted.status();
        let known_view = chain
            .views
            .last()
            .map_or_else(|| "none".into(), |known_view| members(&view(known_view)));
        let address = self
            .view
            .head()
            .map(|member| member.address.to_string())
            .unwrap_or_default();
        let number = match done {
            true => self.view.number.to_string(),
            false => format!("far above {}", self.store.persisted.newest()),
        };
        let vote = if chain.acceptor == 0 {
            "none".into()
        } else {
            format!("for view {}", chain.acceptor)
        };
        let updates = format!("up to {}", self.store.update());
        let rows = [
            (
                "identity",
                hex(self.old_identity),
                if done {
                    hex(self.new_identity)
                } else {
                    "new".into()
                },
            ),
            ("view", known_view, format!("{number}, of {address} alone")),
            (
                "installed view",
                chain.installed.to_string(),
                "the new one".into(),
            ),
            (
                "abandoned up to view",
                chain.abandoned.to_string(),
                "0".into(),
            ),
            ("vote", vote, "none".into()),
            ("updates", updates.clone(), updates),
        ];
        let head = if done {
            ["name", "before", "after"]
        } else {
            ["name", "current", "planned"]
        };
        let mut output = table(
            head,
            rows.into_iter()
                .map(|(what, before, after)| [what.to_string(), before, after]),
        );
        if let (Some(first), Some(last)) = (chain.log.first(), chain.log.last()) {
            let (first, last) = (first.seq, last.seq);
            output += &format!(
                "the log holds updates {first} to {last}: the last of them may not have been acknowledged, but they are kept\n"
            );
        }
        if chain
            .views
            .last()
            .is_some_and(|newest| newest.number > chain.installed)
        {
            output += "a view newer than the one installed here was decided: updates acknowledged in it are missing here\n";
        }
        output += "updates that the others acknowledged without this controller are lost; refound on one controller only\n";
        output += &match done {
            true => format!(
                "done; the previous store is in {}\n",
                replaced_store(folder).display()
            ),
            false => "nothing was written; run again with --yes to write the changes\n".to_string(),
        };
        output
    }
}
