package proof

// routingCells are the cells of the concern Routing.
var routingCells = []Cell{}
