package replicator

// KindBlocks is the kind of the table of client blocks. It is not one of Kinds: its
// content is read in pieces and never kept as one document.
const KindBlocks = "blocks"

// BlocksHeadName is the object name of the block table's head.
const BlocksHeadName = "blocks/head"

// BlocksPieceName returns the object name of a piece of the block table.
func BlocksPieceName(sha string) string { return "blocks/content/" + sha }
