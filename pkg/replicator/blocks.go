package replicator

// KindBlocks is the kind of the table of client address blocks. It is not in Kinds,
// because its content is read in pieces and never kept as one document.
const KindBlocks = "blocks"

// BlocksHeadName is the object name of the head of the block table.
const BlocksHeadName = "blocks/head"

// BlocksPieceName returns the object name of the piece of the block table with the
// given SHA-256.
func BlocksPieceName(sha string) string { return "blocks/content/" + sha }
