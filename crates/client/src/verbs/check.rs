//! `check`: reviews a configuration document before it is sent, and shows how it differs from the one
//! in force.

use {
    crate::{
        arguments::CheckArguments,
        errors::{ClientError, Result},
        output::{Output, render_table},
    },
    error_stack::Report,
    sassafrasslip_core::dispatch::{
        TableRules,
        table_review::{
            EntryChange, EntryDifference, FindingLevel, ReviewFinding, compare_rules,
            review_revision, review_rules,
        },
    },
    sassafrasslip_platform::{StoreClient, decode_rules},
    serde::Serialize,
    std::{fs, io, net::SocketAddr, path::Path, time::Duration},
};

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of the review, as it is printed.
#[derive(Debug, Serialize)]
struct DocumentReview {
    revision: u64,
    /// Revision in force; `None` if the document was not compared.
    revision_in_force: Option<u64>,
    findings: Vec<ReviewFinding>,
    differences: Vec<EntryDifference>,
}

/// Reviews the document and prints what was found.
///
/// # Errors
///
/// Fails if a document cannot be read or decoded, if the store does not answer, or if the review has
/// found an error.
pub(super) async fn execute(arguments: &CheckArguments, output: &mut Output<'_>) -> Result<()> {
    let rules = read_rules(&arguments.file)?;
    let in_force = match (&arguments.in_force, arguments.store) {
        (Some(file), _) => Some(read_rules(file)?),
        (None, Some(store)) => Some(fetch_rules(store).await?),
        (None, None) => None,
    };
    let mut findings: Vec<_> = in_force
        .iter()
        .filter_map(|in_force| review_revision(in_force, &rules))
        .collect();
    findings.extend(review_rules(&rules));
    let review = DocumentReview {
        revision: rules.revision,
        revision_in_force: in_force.as_ref().map(|in_force| in_force.revision),
        findings,
        differences: in_force.map_or_else(Vec::new, |in_force| compare_rules(&in_force, &rules)),
    };
    output.show(&review, render)?;
    let findings = review.findings.iter();
    let errors = findings.filter(|finding| finding.level == FindingLevel::Error);
    match errors.count() {
        0 => Ok(()),
        errors => Err(ClientError::Rejected(format!(
            "the configuration has {errors} error(s)"
        ))),
    }
}

fn read_rules(file: &Path) -> Result<TableRules> {
    let document = fs::read(file).map_err(|error| {
        let text = format!("{}: {error}", file.display());
        ClientError::Local(io::Error::new(error.kind(), text))
    })?;
    let rules = decode_rules(&document);
    rules.map_err(|report| ClientError::Rejected(format!("{}: {}", file.display(), cause(&report))))
}

async fn fetch_rules(store: SocketAddr) -> Result<TableRules> {
    let client = StoreClient::new(store, STORE_TIMEOUT);
    let read = client.read_configuration().await;
    let rows = read.map_err(|report| ClientError::StoreUnreachable {
        store,
        fault: report.current_context().to_string(),
    })?;
    let rules = decode_rules(&rows.document.document);
    rules.map_err(|report| {
        ClientError::Rejected(format!("configuration in force: {}", cause(&report)))
    })
}

/// Returns the messages of a report from the outermost to the innermost.
fn cause<C>(report: &Report<C>) -> String {
    format!("{report:#}")
}

fn render(review: &DocumentReview) -> String {
    let findings = review.findings.iter().map(|finding| {
        let level = match finding.level {
            FindingLevel::Error => "error",
            FindingLevel::Warning => "warning",
        };
        [
            level.to_owned(),
            finding.entry.clone(),
            finding.text.clone(),
        ]
    });
    let findings = match review.findings.is_empty() {
        true => format!("revision {}: nothing found", review.revision),
        false => render_table(["level", "entry", "finding"], findings),
    };
    let Some(in_force) = review.revision_in_force else {
        return findings;
    };
    if review.differences.is_empty() {
        return format!("{findings}\n\nno difference from revision {in_force}");
    }
    let differences = review.differences.iter().map(|difference| {
        let change = match difference.change {
            EntryChange::Added => "added",
            EntryChange::Changed => "changed",
            EntryChange::Removed => "removed",
        };
        let fields = difference.fields.join("; ");
        [change.to_owned(), difference.entry.clone(), fields]
    });
    let differences = render_table(["change", "entry", "fields"], differences);
    format!("{findings}\n\ndifferences from revision {in_force}:\n{differences}")
}
