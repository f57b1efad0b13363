// Package claims makes a non-idempotent request run at most once, across
// the retries by nodes and the resends by its caller.
//
// A request identity belongs to one of the claim shards of its home failure
// domain. Each shard has a primary and, where the domain has a second live
// host, a backup, both named by the shard's view. The view is a row of the
// platform's table and changes by compare-and-set only. The entry node of a
// request, at which the call arrived and which makes the claim, may forward it
// after the primary has granted the claim. The primary grants an identity once,
// and only after the backup has acknowledged the record.
//
// A full member of a shard is its primary, or a backup that has all records.
// Every grant under a view involves each full member of the view, and only the
// process of that host that the view names. A new view therefore takes one of
// two forms. Either it keeps a full member, which holds all records and stops
// serving the old view when it learns the new one. Or it is created after a
// full member is known to have restarted, so that the old view can grant
// nothing any more. In the second case the records are lost, and identities
// that are not younger than the view are answered as possibly run.
//
// Grants do not involve the platform; only view changes do. A member that stops
// gracefully serves its shards until it learns of a view that no longer names
// it.
package claims
