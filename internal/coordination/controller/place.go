package controller

const tolerance = 1e-6
