package publish

import "github.com/chicoryscale/chicoryscale/internal/platform"

// findRow returns the row with a key, or a row with revision 0 if it does not
// exist.
func findRow(rows []platform.Row, key string) platform.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return platform.Row{Key: key}
}

// readHead returns the head and its revision. A platform without a head row
// has version 0 at revision 0.
func readHead(rows []platform.Row) (platform.Head, platform.Revision, *Reply) {
	row := findRow(rows, platform.HeadKey)
	if row.Revision == 0 {
		return platform.Head{}, 0, nil
	}
	head, err := platform.DecodeRow[platform.Head](row)
	if err != nil {
		return head, 0, &Reply{Status: Failed, Detail: err.Error()}
	}
	return head, row.Revision, nil
}

// earlierResult returns the reply to an operation that has already taken
// effect, or nil if it has not. The hash is that of the operation's content.
func earlierResult(rows []platform.Row, operation OperationID, hash string) *Reply {
	row := findRow(rows, platform.OperationKey(string(operation)))
	if row.Revision == 0 {
		return nil
	}
	first, err := platform.DecodeRow[platform.Operation](row)
	if err != nil {
		return &Reply{Status: Failed, Detail: err.Error()}
	}
	if first.Hash != hash {
		return reject("operation ID %q was used for another request, which created %s", operation, first.Key)
	}
	return &Reply{Status: Done, Version: first.Version}
}
