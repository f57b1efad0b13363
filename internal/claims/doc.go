// Package claims makes a non-idempotent request run at most once, over the
// retries of nodes and the resends of its caller.
//
// A request identity belongs to one of the claim shards of its home failure
// domain. Each shard has a primary and, where the domain has a second live
// host, a backup, both named by the shard's view. The view is a row of the
// platform's table and changes by compare-and-set only. An entry node may
// forward a request after the primary has granted the claim. The primary
// grants an identity once, and only after the backup has acknowledged the
// record.
//
// Every grant of a view needs each full member of the view in the process
// that the view names. A new view therefore either keeps a full member, which
// holds all records and stops serving the old view when it learns the new one,
// or is created after a full member is known to have restarted, so that the
// old view can grant nothing any more. In the second case the records are
// lost, and identities that are not younger than the view are answered as
// possibly run.
//
// No grant needs the platform; only a view change does. A member that stops
// gracefully serves until a view without it is known.
package claims
