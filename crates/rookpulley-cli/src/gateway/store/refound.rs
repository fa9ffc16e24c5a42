//! The way out when most members of the newest view are gone for good: one store that is left founds the chain anew.

use super::check::{Examined, examined, told};
use super::{hex, members, view};
use crate::call::CannotAsk;
use crate::show::table;
use rookpulley_chain::{Record, View};
use rookpulley_store::{replace, replaced_store};
use serde_json::{Value, json};
use std::hash::{BuildHasher, RandomState};
use std::path::Path;

/// What becomes of a store.
struct Founding<'a> {
    store: &'a Examined,
    was: u64,
    is: u64,
    view: View,
    records: Vec<Record>,
}

/// None: there is no state to found with.
fn founding(store: &Examined) -> Option<Founding<'_>> {
    let was = store.contents.identity.filter(|_| store.usable)?;
    let is = RandomState::new().hash_one(was);
    let (view, records) = store.kept.refounded(was, is)?;
    Some(Founding {
        store,
        was,
        is,
        view,
        records,
    })
}

pub fn refounded(json: bool, folder: &Path, yes: bool) -> Result<(String, bool), CannotAsk> {
    let examined = examined(folder)?;
    let Some(founding) = examined.as_ref().ok().and_then(founding) else {
        let refused = "it holds no state that a chain could be founded with; nothing was written";
        let (said, _) = told(json, folder, &examined, Some(refused));
        return Ok((said, false));
    };
    if yes {
        replace(
            folder,
            &founding.store.contents,
            founding.is,
            &founding.records,
        )
        .map_err(CannotAsk::Store)?;
    }
    let said = if json {
        founding.as_json(folder, yes).to_string() + "\n"
    } else {
        founding.text(folder, yes)
    };
    Ok((said, true))
}

impl Founding<'_> {
    fn as_json(&self, folder: &Path, done: bool) -> Value {
        let chain = self.store.kept.status();
        // Before it is done another identity is minted each time, and another number goes with it.
        let minted = |value: Value| if done { value } else { Value::Null };
        json!({
            "folder": folder,
            "done": done,
            "identity": {"was": hex(self.was), "is": minted(hex(self.is).into())},
            "view": {"was": chain.views.last().map(view), "is": minted(view(&self.view))},
            "installed": chain.installed,
            "update": self.store.update(),
            "log": {"entries": chain.log.len(), "first": chain.log.first().map(|e| e.seq)},
            "before": minted(json!(replaced_store(folder))),
        })
    }

    fn text(&self, folder: &Path, done: bool) -> String {
        let chain = self.store.kept.status();
        let known = chain
            .views
            .last()
            .map_or_else(|| "none".into(), |known| members(&view(known)));
        let address = self
            .view
            .head()
            .map(|member| member.address.to_string())
            .unwrap_or_default();
        let number = match done {
            true => self.view.number.to_string(),
            false => format!("far above {}", self.store.kept.newest()),
        };
        let vote = if chain.acceptor == 0 {
            "none".into()
        } else {
            format!("for view {}", chain.acceptor)
        };
        let keeps = format!("up to {}", self.store.update());
        let rows = [
            (
                "identity",
                hex(self.was),
                if done { hex(self.is) } else { "another".into() },
            ),
            ("view", known, format!("{number}, of {address} alone")),
            (
                "installed view",
                chain.installed.to_string(),
                "the new one".into(),
            ),
            (
                "never installs up to",
                chain.abandoned.to_string(),
                "0".into(),
            ),
            ("vote", vote, "none".into()),
            ("updates", keeps.clone(), keeps),
        ];
        let head = if done {
            ["what", "was", "is"]
        } else {
            ["what", "is", "would be"]
        };
        let mut said = table(
            head,
            rows.into_iter()
                .map(|(what, was, is)| [what.to_string(), was, is]),
        );
        if let (Some(first), Some(last)) = (chain.log.first(), chain.log.last()) {
            let (first, last) = (first.seq, last.seq);
            said += &format!(
                "updates {first} to {last} are its log: the last may not have been acknowledged, and are kept\n"
            );
        }
        if chain
            .views
            .last()
            .is_some_and(|newest| newest.number > chain.installed)
        {
            said += "a newer view than the one installed here was decided: what it acknowledged is not here\n";
        }
        said += "what the others acknowledged without this controller is gone; do this on one controller alone\n";
        said += &match done {
            true => format!(
                "done; the store as it was is in {}\n",
                replaced_store(folder).display()
            ),
            false => "nothing was written; with --yes it is done\n".to_string(),
        };
        said
    }
}
