//! Every example is read and fits its fleet.

use std::fs;
use std::path::{Path, PathBuf};

use jackdaw_core::catalog::Catalog;
use jackdaw_core::note::Note;
use jackdaw_core::units::Revision;
use jackdawstair::settings::Settings;
use rstest::rstest;

/// One firm's examples.
struct Case {
    folder: &'static str,
    notes: &'static [&'static str],
    nodes: usize,
    zones: usize,
}

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[rstest]
#[case::laurentide(Case {
    folder: "laurentide",
    notes: &["note.yaml", "note-2.yaml"],
    nodes: 6,
    zones: 3,
})]
#[case::mwangaza(Case {
    folder: "mwangaza",
    notes: &["note.yaml", "note-2.yaml"],
    nodes: 6,
    zones: 3,
})]
#[case::demo(Case { folder: "demo", notes: &["note.yaml"], nodes: 0, zones: 0 })]
fn examples_are_sound(#[case] case: Case) {
    let folder = folder(case.folder);
    let mut catalog = Catalog::default();
    for name in case.notes {
        let text = fs::read_to_string(folder.join(name)).expect("note is there");
        let note: Note = serde_saphyr::from_str(&text).expect("note is read");
        catalog = catalog.apply(&note).expect("note applies");
    }
    assert_eq!(catalog.revision, Revision(case.notes.len() as u64));

    let mut settings = Vec::new();
    for entry in fs::read_dir(&folder).expect("folder is there") {
        let path = entry.expect("entry").path();
        let name = path
            .file_name()
            .expect("name")
            .to_string_lossy()
            .into_owned();
        if name.starts_with("node-") {
            let text = fs::read_to_string(&path).expect("settings are there");
            settings
                .push(Settings::parse(&text).unwrap_or_else(|error| panic!("{name}: {error:?}")));
        }
    }
    assert_eq!(settings.len(), case.nodes);
    let mut zones: Vec<_> = settings.iter().map(|settings| &settings.zone).collect();
    zones.sort();
    zones.dedup();
    assert_eq!(zones.len(), case.zones);
    let mut ports: Vec<_> = settings
        .iter()
        .flat_map(|settings| [settings.callers, settings.operators, settings.peers])
        .collect();
    ports.sort();
    ports.dedup();
    assert_eq!(ports.len(), 3 * case.nodes, "no two nodes share a port");
}
