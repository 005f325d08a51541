package replicator

// Blocks is the kind of the table of client blocks. It is not one of Kinds: its
// content is read in pieces and never kept as one document.
const Blocks = "blocks"

// BlocksHead is the object name of the block table's head.
const BlocksHead = "blocks/head"

// BlocksContentName returns the object name of a piece of the block table.
func BlocksContentName(sha string) string { return "blocks/content/" + sha }
