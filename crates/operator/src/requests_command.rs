//! `bamboocross requests`.

use backing::TableStore;
use miette::IntoDiagnostic;
use wire::service_call::{ListedRequest, RequestList, listed_request, unknown_rows};

use crate::CommandResult;

/// Rows that are read at once.
const PAGE_ROWS: usize = 500;

/// What is listed, and how.
#[derive(Clone, Copy, Debug)]
pub struct RequestQuery<'a> {
    /// Team whose requests are listed; all teams unless given.
    pub team: Option<&'a str>,
    /// Whether JSON is printed.
    pub is_json: bool,
}

/// List requests of unknown outcome.
pub async fn list(table: &impl TableStore, query: RequestQuery<'_>) -> CommandResult {
    let list = read_unknown(table, query.team).await?;
    if query.is_json {
        let text = serde_json::to_string_pretty(&list).into_diagnostic()?;
        println!("{text}");
        return Ok(());
    }
    for ListedRequest { team, key, state } in &list.requests {
        println!("{team}\t{key}\t{state}");
    }
    println!("{} requests of unknown outcome", list.requests.len());
    Ok(())
}

async fn read_unknown(table: &impl TableStore, team: Option<&str>) -> miette::Result<RequestList> {
    let prefix = unknown_rows(team);
    let mut list = RequestList::default();
    let mut after = String::new();
    loop {
        let rows = table.scan(&prefix, &after, PAGE_ROWS).await;
        let rows = rows.into_diagnostic()?;
        let Some(last) = rows.last() else {
            return Ok(list);
        };
        after.clone_from(&last.key);
        let listed = rows.iter().filter_map(|row| listed_request(&row.key));
        list.requests
            .extend(listed.filter_map(ListedRequest::unknown));
    }
}
