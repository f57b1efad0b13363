package publish

import "github.com/chicoryscale/chicoryscale/internal/platform"

// findRow returns the row with the given key, or a row with revision 0 if
// there is none.
func findRow(rows []platform.Row, key string) platform.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return platform.Row{Key: key}
}

// readHead returns the head and its revision. Without a head row the version
// and the revision are 0. The reply is not nil if the row is malformed.
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
// effect, and nil if it has not. The operation is rejected if its ID was
// recorded for content with another hash.
func earlierResult(rows []platform.Row, operation OperationID, hash string) *Reply {
	row := findRow(rows, platform.OperationKey(string(operation)))
	if row.Revision == 0 {
		return nil
	}
	recorded, err := platform.DecodeRow[platform.Operation](row)
	if err != nil {
		return &Reply{Status: Failed, Detail: err.Error()}
	}
	if recorded.Hash != hash {
		return rejected("operation ID %q was used for another request, which created %s", operation, recorded.Key)
	}
	return &Reply{Status: Done, Version: recorded.Version}
}
