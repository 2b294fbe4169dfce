package ledger

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
)

// Entry is a bill and the number of the batch that contains it. For an archived
// bill, Batch is the last batch of its archive object.
type Entry struct {
	Bill
	Batch int64 `json:"batch"`
}

// List returns the open and final bills of all logs, except void ones. An empty
// organisation selects all organisations. If a request has a second settled
// bill, which would be a fault of the ledger, that bill is listed after all
// others rather than hidden.
func List(ctx context.Context, store Store, organisation string) ([]Entry, error) {
	l := billLister{bills: map[string]Entry{}}
	archived, err := listArchives(ctx, store, archivePrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, row := range archived {
		bills, err := readArchive(ctx, store, row.Object)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		l.add(row.To, bills)
	}
	if err := l.readTable(ctx, store); err != nil {
		return nil, trace.Wrap(err)
	}
	return l.entries(organisation), nil
}

// billLister merges the bills of all batches into one entry per request, in the
// order in which the requests first occur.
type billLister struct {
	bills      map[string]Entry
	order      []string
	duplicates []Entry
}

// readTable adds the bills of the batches in the table.
func (l *billLister) readTable(ctx context.Context, table backing.Table) error {
	const page = 200
	after := ""
	for {
		rows, err := table.List(ctx, batchPrefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range rows {
			var b batch
			if err := json.Unmarshal(row.Value, &b); err != nil {
				return err
			}
			n, err := strconv.ParseInt(row.Key[strings.LastIndexByte(row.Key, '/')+1:], 10, 64)
			if err != nil {
				return err
			}
			l.add(n, b.Bills)
			after = row.Key
		}
		if len(rows) < page {
			return nil
		}
	}
}

// add adds the bills of one batch. A bill replaces an earlier one of the same
// request that is not settled, except that an open bill replaces only an open
// one.
func (l *billLister) add(batch int64, bills []Bill) {
	for _, bill := range bills {
		have, seen := l.bills[bill.RequestID]
		entry := Entry{Bill: bill, Batch: batch}
		switch {
		case !seen:
			l.order = append(l.order, bill.RequestID)
			l.bills[bill.RequestID] = entry
		case have.Settled() && bill.Settled():
			l.duplicates = append(l.duplicates, entry)
		case !have.Settled() && (bill.Final() || !have.Final()):
			l.bills[bill.RequestID] = entry
		}
	}
}

// entries returns the merged bills of an organisation and then the duplicates.
func (l *billLister) entries(organisation string) []Entry {
	var out []Entry
	for _, id := range l.order {
		entry := l.bills[id]
		if entry.State != Void && belongsTo(entry, organisation) {
			out = append(out, entry)
		}
	}
	for _, entry := range l.duplicates {
		if belongsTo(entry, organisation) {
			out = append(out, entry)
		}
	}
	return out
}

func belongsTo(e Entry, organisation string) bool {
	return organisation == "" || e.Organisation == organisation
}
