package lists

// maxEdits is the number of edits whose results are kept to recognize resends.
const maxEdits = 4096

// Edit is the stored result of one edit.
type Edit struct {
	ID     string
	Digest Digest
	Result Result
}

// edits holds the last maxEdits edits, in order and by id.
type edits struct {
	order []Edit
	byID  map[string]Edit
}

func newEdits() edits {
	return edits{byID: map[string]Edit{}}
}

func (e *edits) get(id string) (Edit, bool) {
	edit, ok := e.byID[id]
	return edit, ok
}

func (e *edits) add(edit Edit) {
	e.order = append(e.order, edit)
	e.byID[edit.ID] = edit
	if len(e.order) > maxEdits {
		delete(e.byID, e.order[0].ID)
		e.order = e.order[1:]
	}
}
