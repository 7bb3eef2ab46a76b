//! The two deployments of the users' brief, at their sizes of today.
//!
//! Each has six entry instances over four availability zones, about ten
//! runners of drafts and five of the plain service, and about ten workspaces.

/// Stands in a bundle's text where the operator's public key goes.
const KEY_MARK: &str = "OPERATOR_KEY";

/// A deployment: what the platform has, and the text of its first bundle.
#[derive(Debug)]
pub struct Deployment {
    /// The fleet's name in bundles and settings.
    pub fleet: &'static str,
    /// The region of all its zones.
    pub region: &'static str,
    /// Its availability zones.
    pub zones: [&'static str; 4],
    /// Its entry instances.
    pub instances: usize,
    /// Model engines that draft.
    pub engines: usize,
    /// The model that they serve.
    pub model: &'static str,
    /// The version of the model's weights.
    pub weights: &'static str,
    /// The plain service.
    pub plain: &'static str,
    /// Its back ends.
    pub plain_endpoints: usize,
    /// Where an unrepeatable request of the plain service goes.
    pub order_path: &'static str,
    /// Where a lookup at the plain service goes.
    pub lookup_path: &'static str,
    /// Class names of drafts, orders and lookups.
    pub classes: [&'static str; 3],
    /// The operator who signs.
    pub operator: &'static str,
    /// The workspaces that send.
    pub workspaces: [&'static str; 10],
    /// The first bundle, without its key.
    bundle: &'static str,
    /// What version 2 changes: a line's part before and after.
    change: (&'static str, &'static str),
}

impl Deployment {
    /// Returns the text of a version of its bundle.
    ///
    /// Version 1 is the file of the demo; each later one changes the weight
    /// of one workspace.
    #[must_use]
    pub fn bundle(&self, version: u64, key: &str) -> String {
        let numbered = self
            .bundle
            .replace("version: 1", &format!("version: {version}"));
        let signed = numbered.replace(KEY_MARK, key);
        if version == 1 {
            return signed;
        }
        let after = self.change.1.replace("WEIGHT", &(version + 3).to_string());
        signed.replace(self.change.0, &after)
    }

    /// Returns the name of an instance and its availability zone.
    #[must_use]
    pub fn instance(&self, index: usize) -> (String, &'static str) {
        self.placed("router", index)
    }

    /// Returns the name of an engine and its availability zone.
    #[must_use]
    pub fn engine(&self, index: usize) -> (String, &'static str) {
        self.placed("engine", index)
    }

    /// Returns the name of a back end of the plain service and its zone.
    #[must_use]
    pub fn plain_endpoint(&self, index: usize) -> (String, &'static str) {
        self.placed(self.plain, index)
    }

    fn placed(&self, kind: &str, index: usize) -> (String, &'static str) {
        let zone = self.zones[index % self.zones.len()];
        (
            format!("{zone}-{kind}-{}", index / self.zones.len() + 1),
            zone,
        )
    }
}

/// The Kitakaze Route Books Franchise Office.
pub static KITAKAZE: Deployment = Deployment {
    fleet: "kitakaze",
    region: "hokkaido",
    zones: ["sapporo", "asahikawa", "otaru", "kushiro"],
    instances: 6,
    engines: 10,
    model: "route-writer",
    weights: "7",
    plain: "ordering",
    plain_endpoints: 5,
    order_path: "/orders",
    lookup_path: "/stock",
    classes: ["draft", "order", "stock"],
    operator: "asahikawa",
    workspaces: [
        "asahikawa",
        "sapporo",
        "otaru",
        "kushiro",
        "sounkyo",
        "niseko",
        "furano",
        "rishiri",
        "abashiri",
        "hakodate",
    ],
    bundle: include_str!("../bundles/kitakaze.yaml"),
    change: ("otaru: { weight: 2", "otaru: { weight: WEIGHT"),
};

/// The Port of Spain Municipal Caricature Service.
pub static PORT_OF_SPAIN: Deployment = Deployment {
    fleet: "port-of-spain",
    region: "trinidad",
    zones: ["port-of-spain", "san-juan", "arima", "diego-martin"],
    instances: 6,
    engines: 10,
    model: "caption-writer",
    weights: "3",
    plain: "booking",
    plain_endpoints: 5,
    order_path: "/bookings",
    lookup_path: "/roster",
    classes: ["brief", "booking", "roster"],
    operator: "belmont",
    workspaces: [
        "carnival-camps",
        "weddings",
        "fetes",
        "council",
        "schools",
        "christenings",
        "san-fernando",
        "arima",
        "diwali",
        "supervisors",
    ],
    bundle: include_str!("../bundles/port-of-spain.yaml"),
    change: ("fetes: { weight: 2", "fetes: { weight: WEIGHT"),
};
