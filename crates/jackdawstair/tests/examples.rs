//! Checks that the example release notes apply and that the example settings fit their fleet.

use std::fs;
use std::path::{Path, PathBuf};

use jackdaw_core::catalog::Catalog;
use jackdaw_core::note::Note;
use jackdaw_core::units::Revision;
use jackdawstair::settings::Settings;
use rstest::rstest;

/// An example folder and the fleet that it describes.
struct Example {
    folder: &'static str,
    notes: &'static [&'static str],
    nodes: usize,
    zones: usize,
}

fn example_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[rstest]
#[case::laurentide(Example {
    folder: "laurentide",
    notes: &["note.yaml", "note-2.yaml"],
    nodes: 6,
    zones: 3,
})]
#[case::mwangaza(Example {
    folder: "mwangaza",
    notes: &["note.yaml", "note-2.yaml"],
    nodes: 6,
    zones: 3,
})]
#[case::demo(Example { folder: "demo", notes: &["note.yaml"], nodes: 0, zones: 0 })]
fn example_notes_apply_and_settings_fit_the_fleet(#[case] example: Example) {
    let folder = example_folder(example.folder);
    let mut catalog = Catalog::default();
    for name in example.notes {
        let text = fs::read_to_string(folder.join(name)).expect("read the note's file");
        let note: Note = serde_saphyr::from_str(&text).expect("parse the note");
        catalog = catalog.apply(&note).expect("apply the note");
    }
    assert_eq!(catalog.revision, Revision(example.notes.len() as u64));

    let mut settings = Vec::new();
    for entry in fs::read_dir(&folder).expect("list the folder") {
        let path = entry.expect("read the folder's entry").path();
        let name = path
            .file_name()
            .expect("entry has a file name")
            .to_string_lossy()
            .into_owned();
        if name.starts_with("node-") {
            let text = fs::read_to_string(&path).expect("read the settings' file");
            settings
                .push(Settings::parse(&text).unwrap_or_else(|error| panic!("{name}: {error:?}")));
        }
    }
    assert_eq!(settings.len(), example.nodes);
    let mut zones: Vec<_> = settings.iter().map(|settings| &settings.zone).collect();
    zones.sort();
    zones.dedup();
    assert_eq!(zones.len(), example.zones);
    let mut ports: Vec<_> = settings
        .iter()
        .flat_map(|settings| [settings.callers, settings.operators, settings.peers])
        .collect();
    ports.sort();
    ports.dedup();
    assert_eq!(ports.len(), 3 * example.nodes, "no two nodes share a port");
}
